package admin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/steering"
)

// Page is one page of a list. Next, if set, is the cursor of the next page.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
}

// list describes how the rows of one kind are read, sorted and filtered.
type list[T any] struct {
	rows    func(ctx context.Context) ([]T, error)
	key     func(*T) string // unique; rows are sorted by it
	service func(*T) steering.ServiceName
	region  func(*T) steering.RegionName
	zone    func(*T) steering.ZoneName
}

// page returns the rows that the request selects.
func page[T any](h *handler, r *http.Request, l list[T]) (any, *problem.Problem) {
	p, prob := parseQuery(r.URL.RawQuery, h.options.Now(), l.allowedParameters()...)
	if prob != nil {
		return nil, prob
	}
	services, prob := h.servicesOf(p.team)
	if prob != nil {
		return nil, prob
	}
	rows, err := l.rows(r.Context())
	if err != nil {
		return nil, problem.New(problem.KindSourceFailed, http.StatusBadGateway, err.Error())
	}
	rows = slices.DeleteFunc(slices.Clone(rows), func(row T) bool { return !l.matches(&row, &p, services) })
	slices.SortFunc(rows, func(a, b T) int { return strings.Compare(l.key(&a), l.key(&b)) })
	return paginate(rows, l.key, &p), nil
}

// allowedParameters returns the names of the parameters that the list accepts.
func (l *list[T]) allowedParameters() []string {
	names := []string{"limit", "cursor"}
	if l.service != nil {
		names = append(names, "service", "team")
	}
	if l.region != nil {
		names = append(names, "region")
	}
	if l.zone != nil {
		names = append(names, "zone")
	}
	return names
}

// matches reports whether the request selects a row. services are those of the team; nil means all.
func (l *list[T]) matches(row *T, p *parameters, services []steering.ServiceName) bool {
	if p.region != "" && l.region(row) != p.region {
		return false
	}
	if p.zone != "" && l.zone(row) != p.zone {
		return false
	}
	if l.service == nil {
		return true
	}
	if p.service != "" && l.service(row) != p.service {
		return false
	}
	return services == nil || slices.Contains(services, l.service(row))
}

// paginate returns the rows after the cursor, up to the limit.
func paginate[T any](rows []T, key func(*T) string, p *parameters) Page[T] {
	first := 0
	if p.cursor != "" {
		for first < len(rows) && key(&rows[first]) <= p.cursor {
			first++
		}
	}
	last := min(first+p.limit, len(rows))
	result := Page[T]{Items: append([]T{}, rows[first:last]...)}
	if last < len(rows) {
		result.Next = key(&rows[last-1])
	}
	return result
}

// servicesOf returns the services of a team; nil means all.
func (h *handler) servicesOf(team steering.TeamName) ([]steering.ServiceName, *problem.Problem) {
	if team == "" {
		return nil, nil
	}
	if h.options.Teams != nil {
		if services, known := h.options.Teams.ServicesOf(team); known {
			return append([]steering.ServiceName{}, services...), nil
		}
	}
	return nil, problem.New(problem.KindNotFound, http.StatusNotFound, "no team "+strconv.Quote(string(team)))
}

func unavailable(what string) *problem.Problem {
	return problem.New(problem.KindNotReady, http.StatusServiceUnavailable, "this VM does not know "+what+" yet")
}

func (h *handler) revision(r *http.Request) (any, *problem.Problem) {
	if _, prob := parseQuery(r.URL.RawQuery, h.options.Now()); prob != nil {
		return nil, prob
	}
	if h.options.Revision == nil {
		return nil, unavailable("the revision")
	}
	status, err := h.options.Revision.RevisionStatus(r.Context())
	if err != nil {
		return nil, problem.New(problem.KindSourceFailed, http.StatusBadGateway, err.Error())
	}
	return &status, nil
}

func (h *handler) vms(r *http.Request) (any, *problem.Problem) {
	if h.options.VMs == nil {
		return nil, unavailable("entry VMs")
	}
	return page(h, r, list[VMRow]{
		rows:   h.options.VMs.VMRows,
		key:    func(v *VMRow) string { return string(v.Name) },
		region: func(v *VMRow) steering.RegionName { return v.Region },
		zone:   func(v *VMRow) steering.ZoneName { return v.Zone },
	})
}

func (h *handler) zones(r *http.Request) (any, *problem.Problem) {
	if h.options.Zones == nil {
		return nil, unavailable("zones")
	}
	return page(h, r, list[ZoneRow]{
		rows:   h.options.Zones.ZoneRows,
		key:    func(z *ZoneRow) string { return string(z.Name) },
		region: func(z *ZoneRow) steering.RegionName { return z.Region },
	})
}

func (h *handler) regions(r *http.Request) (any, *problem.Problem) {
	if h.options.Regions == nil {
		return nil, unavailable("regions")
	}
	return page(h, r, list[RegionRow]{
		rows:    h.options.Regions.RegionRows,
		key:     func(x *RegionRow) string { return string(x.Region) + "/" + string(x.Service) },
		service: func(x *RegionRow) steering.ServiceName { return x.Service },
		region:  func(x *RegionRow) steering.RegionName { return x.Region },
	})
}

func (h *handler) links(r *http.Request) (any, *problem.Problem) {
	if h.options.Links == nil {
		return nil, unavailable("links")
	}
	return page(h, r, list[LinkRow]{
		rows:   h.options.Links.LinkRows,
		key:    func(l *LinkRow) string { return string(l.From) + "/" + string(l.To) },
		region: func(l *LinkRow) steering.RegionName { return l.From },
	})
}

func (h *handler) contracts(r *http.Request) (any, *problem.Problem) {
	if h.options.Contracts == nil {
		return nil, unavailable("contracts")
	}
	return page(h, r, list[ContractRow]{
		rows: h.options.Contracts.ContractRows,
		key: func(c *ContractRow) string {
			return string(c.Service) + "/" + string(c.Zone) + "/" + string(c.Holder) + "/" + c.Kind + "/" + strconv.FormatUint(c.Grant, 10)
		},
		service: func(c *ContractRow) steering.ServiceName { return c.Service },
		zone:    func(c *ContractRow) steering.ZoneName { return c.Zone },
	})
}

func (h *handler) upstreams(r *http.Request) (any, *problem.Problem) {
	if h.options.Upstreams == nil {
		return nil, unavailable("upstreams")
	}
	return page(h, r, list[UpstreamRow]{
		rows:    h.options.Upstreams.UpstreamRows,
		key:     func(u *UpstreamRow) string { return string(u.Service) + "/" + string(u.Name) },
		service: func(u *UpstreamRow) steering.ServiceName { return u.Service },
		region:  func(u *UpstreamRow) steering.RegionName { return u.Region },
		zone:    func(u *UpstreamRow) steering.ZoneName { return u.Zone },
	})
}
