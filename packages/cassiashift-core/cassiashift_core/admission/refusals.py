"""Builds final answers to calls that are not admitted."""

from cassiashift_core.admission import model
from cassiashift_core import errors
from cassiashift_core import hashing

_HASH_SPAN = 2.0**64


def build(
    cfg: model.AdmissionConfig,
    req: model.AdmissionRequest,
    code: errors.ErrorCode,
    wait_s: float,
    reason: str,
) -> model.Refused:
    """Return a refusal that tells the caller when to come back.

    Args:
        cfg: bounds and spread of the time to come back.
        req: the call.
        code: the stable code.
        wait_s: the wait that the call would have had.
        reason: why, in words.
    """
    spread = hashing.stable_hash(req.request_id) / _HASH_SPAN
    after_s = max(cfg.min_retry_after_s, wait_s)
    after_s *= 1 + cfg.retry_jitter * spread
    after_s = min(after_s, cfg.max_retry_after_s)
    return model.Refused(req.request_id, code, after_s, reason)
