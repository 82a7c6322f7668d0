package main

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"
)

const (
	socketSlack     = 50 * time.Millisecond  // by which each limit is longer on sockets
	leaveSlack      = 100 * time.Millisecond // after a client's close in which an attempt may still begin
	heldUpSlack     = 150 * time.Millisecond // for which a gateway may be held up between reading its clock and writing
	deadlineSlack   = 150 * time.Millisecond // by which the deadline passed on may be longer than what is left
	listPropagation = 6 * time.Second        // in which a change of the list counts as told
	pushAfterMove   = 4 * time.Second        // after which a pushed list counts as told again once discovery has moved
	readyBound      = 10 * time.Second
	maxAttempts     = 3 // the settings' limit of hops
)

// soakJudge finds broken rules in the records of a run.
type soakJudge struct {
	*soakRecord
	scenario   *scenario
	profiles   map[string]soakProfile
	requests   map[string][]requestRecord // by trace ID: a request that crossed the end of its connection was sent again
	attempts   map[string][]*attemptRecord
	violations []string
}

// judge returns the broken rules of a run.
func judge(record *soakRecord, s *scenario) []string {
	j := &soakJudge{soakRecord: record, scenario: s, profiles: map[string]soakProfile{}, requests: map[string][]requestRecord{}, attempts: map[string][]*attemptRecord{}}
	for _, profile := range s.profiles {
		j.profiles[profile.Name] = profile
	}
	for _, request := range record.requests {
		j.requests[request.traceID] = append(j.requests[request.traceID], request)
	}
	for _, attempt := range record.attempts {
		j.attempts[attempt.traceID] = append(j.attempts[attempt.traceID], attempt)
	}
	for _, request := range record.requests {
		j.checkAnswer(request)
	}
	for _, traceID := range sortedKeys(j.attempts) {
		j.checkAttempts(traceID)
	}
	j.checkDrains()
	j.checkProcesses()
	j.checkPartials()
	return j.violations
}

// violate records a broken rule.
func (j *soakJudge) violate(rule, format string, args ...any) {
	j.violations = append(j.violations, rule+": "+fmt.Sprintf(format, args...))
}

// processOf returns the process of a gateway that ran at a time, or nil.
func (j *soakJudge) processOf(gateway int, at time.Duration) *processRecord {
	for _, p := range j.processes {
		if p.gateway == gateway && p.startedAt <= at && (p.endedAt == 0 || at <= p.endedAt) {
			return p
		}
	}
	return nil
}

// checkAnswer checks that a request got one whole and true answer in time, unless its client left or it was never read.
func (j *soakJudge) checkAnswer(request requestRecord) {
	attempts := j.attemptsOf(request)
	switch {
	case request.leftAt > 0, request.partlySent && request.status == 0:
	case request.status == 0 && j.mayBeUnanswered(request, attempts):
	case request.status == 0:
		j.violate("lost", "%+v, attempts %s", request, describeAttempts(attempts))
	case request.bodyWrong && j.isLateSecondAnswer(request):
		fmt.Printf("seed %d: passed over, a second answer that came late as this process was held up: %+v\n", j.scenario.seed, request)
	case request.bodyWrong:
		j.violate("wrong answer", "%+v, attempts %s", request, describeAttempts(attempts))
	case request.endedAt > request.sentAt+request.budget+answerSlack+socketSlack && !request.afterOthers:
		j.violate("late", "%+v, attempts %s", request, describeAttempts(attempts))
	case request.status != http.StatusOK && request.status != http.StatusServiceUnavailable && request.status != http.StatusTooManyRequests &&
		request.status != http.StatusGatewayTimeout:
		j.violate("unexpected status", "%+v", request)
	}
}

// isLateSecondAnswer reports whether the answer to a request is a second answer to another that its host wrote later than hosts do.
func (j *soakJudge) isLateSecondAnswer(request requestRecord) bool {
	for _, attempt := range j.attempts[request.bodyTraceID] {
		if attempt.secondAnswerLate {
			return true
		}
	}
	return false
}

// attemptsOf returns the attempts that were made for a request before its client sent it again.
func (j *soakJudge) attemptsOf(request requestRecord) (attempts []*attemptRecord) {
	sentAgainAt := time.Duration(math.MaxInt64)
	for _, other := range j.requests[request.traceID] {
		if other.sentAt > request.sentAt {
			sentAgainAt = min(sentAgainAt, other.sentAt)
		}
	}
	for _, attempt := range j.attempts[request.traceID] {
		if attempt.firstByteAt < sentAgainAt {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// mayBeUnanswered reports whether a request without a whole answer is no lost one: it crossed the end of its connection and no host has seen it,
// its host broke off an answer, or it was not read as idle clients fill the gateway.
func (j *soakJudge) mayBeUnanswered(request requestRecord, attempts []*attemptRecord) bool {
	if request.timedOut {
		return request.afterOthers // its time counts from its turn
	}
	if request.bytesReceived {
		for _, attempt := range attempts {
			if attempt.mode == hostResetsInto || attempt.mode == hostAnswersTwice {
				return true
			}
		}
		return false
	}
	if len(attempts) > 0 {
		return false
	}
	sentAtOnce := request.fresh && request.sentAt-request.connectedAt < immediately
	return !sentAtOnce || request.afterOthers || j.scenario.crowd > 0
}

// describeAttempts describes the attempts of a request in a line.
func describeAttempts(attempts []*attemptRecord) (text string) {
	for _, attempt := range attempts {
		text += fmt.Sprintf("[%+v]", *attempt)
	}
	return text
}

// checkAttempts checks the attempts of one request against what its client waited for, and against its effect.
func (j *soakJudge) checkAttempts(traceID string) {
	requests, attempts := j.requests[traceID], j.attempts[traceID]
	if len(requests) == 0 && (strings.HasPrefix(traceID, "idle-") || strings.HasPrefix(traceID, "crowd-")) { // of the crowds
		return
	}
	if len(requests) == 0 {
		j.violate("unknown request", "%s", describeAttempts(attempts))
		return
	}
	last := requests[len(requests)-1]
	if len(attempts) > maxAttempts*len(requests) {
		j.violate("hops", "%+v, attempts %s", last, describeAttempts(attempts))
	}
	for _, attempt := range attempts {
		left := last.sentAt + last.budget - attempt.firstByteAt
		switch {
		case last.leftAt > 0 && attempt.firstByteAt > last.leftAt+leaveSlack+socketSlack:
			j.violate("sent after its client left", "%+v, attempts %s", last, describeAttempts(attempts))
		case last.status > 0 && attempt.firstByteAt > last.endedAt+socketSlack:
			j.violate("sent after its answer", "%+v, attempts %s", last, describeAttempts(attempts))
		case left < -socketSlack && !last.afterOthers:
			j.violate("sent after its time", "%+v, attempts %s", last, describeAttempts(attempts))
		case attempt.expiresIn > left+deadlineSlack+socketSlack && !last.afterOthers:
			j.violate("deadline passed on", "%v, left %v (this process was late by up to %v): %+v", attempt.expiresIn, left,
				j.delayWithin(last.sentAt, attempt.firstByteAt), last)
		}
	}
	j.checkEffect(last, attempts)
	j.checkCells(last, attempts)
	j.checkSentOn(last, attempts)
}

// checkEffect checks that nothing has run twice that may not, nor was rolled back that ran.
func (j *soakJudge) checkEffect(last requestRecord, attempts []*attemptRecord) {
	var ran []*attemptRecord
	for _, attempt := range attempts {
		if attempt.wholeAt > 0 && attempt.mode != hostDeclines {
			ran = append(ran, attempt)
		}
	}
	profile := j.profiles[last.profile]
	refused := last.status == http.StatusServiceUnavailable || last.status == http.StatusTooManyRequests
	switch {
	case profile.Effect == "at_most_once" && len(ran) > 1:
		j.violate("duplicate", "%+v, attempts %s", last, describeAttempts(ran))
	case profile.Effect == "at_most_once" && len(ran) > 0 && refused:
		j.violate("rolled back that ran", "%+v, attempts %s", last, describeAttempts(ran))
	case profile.Effect == "deduplicated" && len(ran) > 1 && ran[len(ran)-1].firstByteAt > ran[0].wholeAt+profile.DedupWindow+socketSlack:
		j.violate("duplicate outside its window", "%+v, attempts %s", last, describeAttempts(ran))
	}
}

// checkDrains checks that nothing new was sent to a host after its gateway counted as told.
func (j *soakJudge) checkDrains() {
	for _, attempts := range j.attempts {
		for _, attempt := range attempts {
			process := j.processOf(attempt.gateway, attempt.firstByteAt)
			if process == nil {
				continue
			}
			if told, ok := j.toldAt(process, attempt); ok && attempt.firstByteAt > told+soakDrainGrace+socketSlack {
				j.violate("drain", "told at %v: %+v", told, *attempt)
			}
		}
	}
}

// toldAt returns when a process counted as told that the host of an attempt drains or is gone.
func (j *soakJudge) toldAt(process *processRecord, attempt *attemptRecord) (at time.Duration, told bool) {
	for _, list := range j.lists {
		if list.gateway == process.gateway && list.process == process.process && list.host == attempt.host && (!told || list.writtenAt < at) {
			at, told = list.writtenAt, true
		}
	}
	for _, step := range j.scenario.lists {
		if step.host != attempt.host {
			continue
		}
		reachable := max(step.at, process.startedAt)
		for _, outage := range j.scenario.outages {
			if reachable >= outage.from && reachable < outage.until {
				reachable = outage.until
			}
		}
		counts := reachable + listPropagation
		if j.scenario.pushed {
			counts = max(step.at, reachable)
			if process.movedAt > 0 {
				counts = max(counts, process.movedAt+pushAfterMove)
			}
			if silentAt := j.scenario.silentAt; silentAt > process.startedAt && step.at >= silentAt { // its watch had fallen silent
				counts = max(counts, silentAt+listPropagation)
			}
		}
		if !told || counts < at {
			at, told = counts, true
		}
	}
	return at, told
}

// checkProcesses checks how processes started and ended, and their limits.
func (j *soakJudge) checkProcesses() {
	for _, p := range j.processes {
		switch {
		case p.endedUnasked:
			j.violate("ended by itself", "%+v", *p)
		case p.readyAt == 0 || p.readyAt-p.startedAt > readyBound:
			j.violate("not ready", "%+v", *p)
		case p.killed:
			j.violate("not ended by the kill", "%+v", *p)
		case !p.stopped && p.exit != nil:
			j.violate("exit status", "%+v", *p)
		}
		if p.maxDescriptors > j.scenario.sockets {
			j.violate("descriptors", "%+v", *p)
		}
		if !raceDetectorEnabled && p.peakMemoryKiB > j.scenario.memoryMB<<10 {
			j.violate("memory", "%+v", *p)
		}
	}
}

// checkPartials checks that clients that stop within a request get their error or close.
func (j *soakJudge) checkPartials() {
	for _, partial := range j.partials {
		if partial.endedAt == 0 || partial.endedAt > partial.sentAt+partialBound+socketSlack {
			j.violate("part of a request held", "%+v", partial)
		}
	}
}
