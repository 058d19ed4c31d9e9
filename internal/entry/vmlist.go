package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	listAnswerMargin  = 400 * time.Millisecond // for the answer of a reader beyond its wait
	readerSkippedFor  = 30 * time.Second       // a reader that failed
	staleReads        = 3                      // polls after which a reader's list is stale
	soloEvery         = 10 * time.Second       // on average, between own readings while the reader's list is stale
	longestReaderWait = time.Second
)

// zoneList is the VM list as the entry VMs of a zone share it: the first of them by name reads it from the
// platform, the others learn the changes from that VM. So the calls to the platform grow with the zones.
// A VM reads by itself when it has no list, and when the reader does not answer; it then asks the next one.
// While the reader answers with a stale list a VM tries by itself now and then: the platform may be down for
// all. VMs is called by one goroutine; FetchVMs by many.
type zoneList struct {
	self      Identity
	every     time.Duration // between two polls
	platform  refplatform.VMList
	directory *vm.Directory
	ask       func(context.Context, vm.Name, *peer.FetchVMsRequest) (*peer.FetchVMsReply, error)
	log       *vm.ListLog
	skipped   map[vm.Name]time.Time // readers that failed, until when
	solo      time.Time             // the next own reading while the reader's list is stale
}

func provideZoneList(opts Options, self Identity, list refplatform.VMList, d *vm.Directory, p *peers) *zoneList {
	return &zoneList{
		self: self, every: opts.Settings.Limits.PollVMList.Std(), platform: list, directory: d, ask: p.fetchVMs,
		log: vm.NewListLog(), skipped: make(map[vm.Name]time.Time),
	}
}

// VMs implements refplatform.VMList.
func (z *zoneList) VMs(ctx context.Context) ([]vm.VM, error) {
	now := time.Now()
	reader := z.reader(now)
	rows, version := z.log.Rows()
	if rows == nil || reader == z.self.Name {
		return z.read(ctx)
	}
	err := z.learn(ctx, reader, version)
	var stale *StaleReaderError
	var apart *UnknownVersionError
	switch {
	case err == nil:
		rows, _ = z.log.Rows()
		return rows, nil
	case errors.As(err, &apart):
		return z.read(ctx)
	case !errors.As(err, &stale):
		z.skipped[reader] = now.Add(readerSkippedFor)
		return z.read(ctx)
	case now.Before(z.solo):
		return nil, err
	}
	z.solo = now.Add(z.soloDelay())
	rows, err = z.read(ctx)
	if err == nil {
		z.skipped[reader] = now.Add(readerSkippedFor)
	}
	return rows, err
}

// StaleReaderError reports that the VM which reads the VM list for the zone could not read it lately.
type StaleReaderError struct{ Reader vm.Name }

// Error implements error.
func (e *StaleReaderError) Error() string { return "VM list of " + string(e.Reader) + " is stale" }

// UnknownVersionError reports that the VM which reads the VM list does not know how this VM's rows lead to
// its own.
type UnknownVersionError struct{ Reader vm.Name }

// Error implements error.
func (e *UnknownVersionError) Error() string { return "VM list of " + string(e.Reader) + " is another" }

// soloDelay differs between VMs, so that they do not all return to the platform at once.
func (z *zoneList) soloDelay() time.Duration {
	part := xxhash.Sum64String(string(z.self.Name)) % uint64(soloEvery)
	return soloEvery/2 + time.Duration(part)
}

// reader returns the entry VM of the zone that reads the list: the first by name that seems well.
func (z *zoneList) reader(now time.Time) vm.Name {
	for _, e := range z.directory.View().Entries {
		if e.VM.Name == z.self.Name {
			break
		}
		if e.VM.Zone == z.self.Zone && e.Liveness == vm.Live && e.Incarnation > 0 && !now.Before(z.skipped[e.VM.Name]) {
			return e.VM.Name
		}
	}
	return z.self.Name
}

// askedAt returns the time since which the rows of the last answer of VMs are known to be the platform's, by
// this VM's clock: never later than the platform was asked.
func (z *zoneList) askedAt() time.Time { return z.log.RequestedAt() }

func (z *zoneList) read(ctx context.Context) ([]vm.VM, error) {
	asked := time.Now()
	rows, err := z.platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	z.log.SetRows(rows, asked)
	rows, _ = z.log.Rows()
	return rows, nil
}

// learn asks the reader for changes. Errors: *StaleReaderError, *UnknownVersionError, else those of the call.
func (z *zoneList) learn(ctx context.Context, reader vm.Name, version vm.ListVersion) error {
	wait := z.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+listAnswerMargin)
	defer cancel()
	asked := time.Now()
	reply, err := z.ask(ctx, reader, &peer.FetchVMsRequest{Version: uint64(version), WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		return err
	}
	age := time.Duration(reply.GetAgeMs()) * time.Millisecond
	if age > staleReads*z.every {
		return &StaleReaderError{Reader: reader}
	}
	change, err := changeOf(version, reply)
	if err != nil {
		return err
	}
	if !reply.GetKnown() || !z.log.Apply(change, asked.Add(-age)) {
		return &UnknownVersionError{Reader: reader}
	}
	return nil
}

func changeOf(version vm.ListVersion, reply *peer.FetchVMsReply) (vm.ListChange, error) {
	change := vm.ListChange{From: version, To: vm.ListVersion(reply.GetVersion())}
	if len(reply.GetChanged()) > 0 {
		if err := json.Unmarshal(reply.GetChanged(), &change.Changed); err != nil {
			return change, err
		}
	}
	for _, name := range reply.GetRemoved() {
		change.Removed = append(change.Removed, vm.Name(name))
	}
	return change, nil
}

// wait returns how long a reader may wait for a change: most of the time to the next poll.
func (z *zoneList) wait() time.Duration { return min(longestReaderWait, z.every) * 4 / 5 }

// ageMs rounds up: an age may be told too high, not too low. A list asked for after the call arrived has none.
func ageMs(age time.Duration) uint32 {
	return uint32((max(0, age) + time.Millisecond - 1).Milliseconds())
}

// FetchVMs implements peer.DRPCPeerServer.
func (z *zoneList) FetchVMs(ctx context.Context, req *peer.FetchVMsRequest) (*peer.FetchVMsReply, error) {
	arrived := time.Now()
	changed := z.log.Changed()
	change, asked, known := z.log.ChangesSince(vm.ListVersion(req.GetVersion()))
	if known && change.From == change.To {
		timer := time.NewTimer(min(longestReaderWait, time.Duration(req.GetWaitMs())*time.Millisecond))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		change, asked, known = z.log.ChangesSince(vm.ListVersion(req.GetVersion()))
	}
	reply := &peer.FetchVMsReply{Known: known, Version: uint64(change.To), AgeMs: ageMs(arrived.Sub(asked))}
	if !known {
		return reply, nil
	}
	for _, name := range change.Removed {
		reply.Removed = append(reply.Removed, string(name))
	}
	if len(change.Changed) == 0 {
		return reply, nil
	}
	var err error
	reply.Changed, err = json.Marshal(change.Changed)
	return reply, err
}
