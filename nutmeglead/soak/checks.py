"""Compare what callers were answered with what servers ran."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from nutmeglead.emulator.callers import ReportedOutcomes
from nutmeglead.emulator.kept_callers import KeptCallers, LostRequest
from nutmeglead.emulator.pipelined_callers import PipelinedCallers
from nutmeglead.soak.fleet import ProgramRun

__all__ = ["RunCounts", "answer_violations", "kept_violations", "pipelined_violations"]

RunCounts = Mapping[str, int]

# A violation names at most this many requests.
MAX_NAMED = 3


def answer_violations(outcomes: ReportedOutcomes, run_counts: RunCounts) -> dict[str, int]:
    """Return the number of violations by their description, for callers of single requests."""
    return {
        "at-most-once requests ran more than once": sum(
            run_counts[r] > 1 for r in outcomes.at_most_once
        ),
        "requests ran although their outcome was not-run": sum(
            bool(run_counts[r]) for r in outcomes.not_run
        ),
        "successful answers belong to other requests": outcomes.wrong_answers,
        "successful answers without an execution": sum(
            not run_counts[r] for r in outcomes.answered
        ),
    }


def pipelined_violations(
    groups: Sequence[PipelinedCallers], run_counts: RunCounts
) -> dict[str, int]:
    """Return the number of violations by their description, for callers that send ahead."""
    lost = [
        cut.request_id
        for group in groups
        for cut in group.cut
        if run_counts[cut.request_id]
        and isinstance(cut.peer, ProgramRun)
        and cut.peer.ended_as_planned
    ]
    not_run = [request_id for group in groups for request_id in group.not_run]
    return {
        f"requests ran and were cut off by a planned stop: {lost[:3]}": len(lost),
        "pipelined requests got another one's answer": sum(g.wrong_answers for g in groups),
        "pipelined requests ran although they were answered as not run": sum(
            bool(run_counts[request_id]) for request_id in not_run
        ),
        "groups of callers that send ahead, all without an answer": (
            0 if any(group.answered for group in groups) else len(groups)
        ),
    }


def kept_violations(groups: Sequence[KeptCallers], run_counts: RunCounts) -> dict[str, int]:
    """Return the number of violations by their description, for callers that keep connections."""
    lost = [request for group in groups for request in group.lost]
    unanswered = [request for group in groups for request in group.unanswered]
    not_run = [request_id for group in groups for request_id in group.not_run]
    posted = [request_id for group in groups for request_id in group.posted]
    return {
        f"requests on kept connections were lost: {_described(lost)}": len(lost),
        f"requests on kept connections got no answer: {_described(unanswered)}": len(unanswered),
        "requests on kept connections got another one's answer": sum(
            group.wrong_answers for group in groups
        ),
        "requests on kept connections ran although they were answered as not run": sum(
            bool(run_counts[request_id]) for request_id in not_run
        ),
        "at-most-once requests on kept connections ran more than once": sum(
            run_counts[request_id] > 1 for request_id in posted
        ),
        "groups of callers that keep connections, all without an answer": (
            0 if any(group.answered for group in groups) else len(groups)
        ),
    }


def _described(requests: Sequence[LostRequest]) -> list[str]:
    """Return the ids of a few requests, how and when they were sent, and when they were lost."""
    return [
        f"{request.request_id} {request.sending}, sent at {request.written_wall_ms}, "
        f"ended at {request.ended_wall_ms}"
        for request in requests[:MAX_NAMED]
    ]
