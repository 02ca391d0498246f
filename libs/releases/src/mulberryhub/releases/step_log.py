"""Logs the steps of a release with their reasons."""

from mulberryhub.base.logs import module_logger

log = module_logger(__name__)


def log_step(release, now):
    """Log the state of a Release and the numbers that it follows from."""
    saved, decision = release.saved, release.decision
    progress = release.progress
    log.info(
        "release step",
        service=saved.service,
        target=saved.target,
        state=saved.state,
        reason=saved.reason,
        share=None if decision is None else decision.share,
        upstreams=None if decision is None else decision.upstreams,
        age_ms=now - release.seen_at,
        duration_ms=saved.duration,
        exposed=None if progress is None else progress.exposed,
        received=None if progress is None else progress.received,
    )
