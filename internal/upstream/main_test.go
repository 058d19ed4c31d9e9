package upstream

import (
	"testing"

	"github.com/azureflow/azureflow/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 0) }
