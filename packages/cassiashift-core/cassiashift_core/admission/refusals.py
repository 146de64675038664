"""Builds the refusals of calls that are not admitted."""

from cassiashift_core.admission import model
from cassiashift_core import errors
from cassiashift_core import hashing

_HASH_RANGE = 2.0**64


def build(
    cfg: model.AdmissionConfig,
    req: model.AdmissionRequest,
    code: errors.ErrorCode,
    wait_s: float,
    reason: str,
) -> model.Refused:
    """Return a refusal with the time after which to retry.

    Args:
        cfg: bounds and jitter of the time to retry.
        req: the call.
        code: the error code.
        wait_s: the expected wait of the call had it been admitted.
        reason: explanation for the caller.
    """
    spread = hashing.stable_hash(req.request_id) / _HASH_RANGE
    after_s = max(cfg.min_retry_after_s, wait_s)
    after_s *= 1 + cfg.retry_jitter * spread
    after_s = min(after_s, cfg.max_retry_after_s)
    return model.Refused(req.request_id, code, after_s, reason)
