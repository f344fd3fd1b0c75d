"""How late work that is due gets the processor."""

from rattanworks.utils.logging import log_event

REQUEST = "request"
ANSWER = "answer"
TIMER = "timer"
# Shorter delays are counted only: callers do not notice them.
LOGGED_SECONDS = 0.25


class WorkDelays:
    """Records by kind how long work waited from when it was due until it was handled.

    ``observe_by_kind`` has a function of seconds for each kind:

    * REQUEST: from the last byte of a caller's request to the start of its handling,
    * ANSWER: from when another node sent an answer to when its thread went on, the
      time on the network included,
    * TIMER: from the end of a wait to when its thread went on.
    """

    def __init__(self, observe_by_kind=None):
        self._observe_by_kind = observe_by_kind or {}

    def record(self, kind, seconds, request_id=""):
        """Record one delay; log it when callers notice it."""
        observe = self._observe_by_kind.get(kind)
        if observe is not None:
            observe(max(0.0, seconds))
        if seconds >= LOGGED_SECONDS:
            log_event(
                "work-delayed",
                kind=kind,
                seconds=round(seconds, 3),
                request_id=request_id,
            )
