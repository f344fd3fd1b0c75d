"""Base of the HTTP clients of stores: connections and translation of errors."""

import abc

from rattanworks.exceptions import (
    CallNotSentError,
    CallOutcomeUnknownError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from rattanworks.ports.base import Store
from rattanworks.utils.answer_limits import DEFAULT_BODY_BYTES, AnswerBounds
from rattanworks.utils.codec import DecodeError, decode_json
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.memory_budget import MemoryBudget

MAX_CONNECTIONS = 16
# Budget for the large answers of all requests at once: one answer of the largest
# size and its copy. Bodies of calls have another budget, so that they cannot keep
# records from being read.
LARGE_ANSWERS_BYTES = 2 * DEFAULT_BODY_BYTES


class StoreOverHttp(Store):
    """Sends requests to the store at ``address``; ``timeout`` is in seconds.

    ``headers`` are sent with every request.
    """

    headers = ()

    def __init__(self, address, timeout):
        bounds = AnswerBounds(budget=MemoryBudget(LARGE_ANSWERS_BYTES))
        self._pool = HttpPool(address, MAX_CONNECTIONS, bounds)
        self._timeout = timeout

    @abc.abstractmethod
    def _check_status(self, answer, method):
        """Raise the error that the answer's status stands for, if any.

        Raise CallOutcomeUnknownError when the request may have been carried out.
        """

    def _read(self, target, timeout=None):
        try:
            return self._exchange("GET", target, (), b"", timeout)
        except CallOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _write(self, method, target, headers=(), body=b""):
        try:
            return self._exchange(method, target, headers, body, None)
        except CallOutcomeUnknownError as error:
            raise StoreAnswerLostError(
                f"a write may have taken effect: {error}; read the record back"
            ) from error

    def _exchange(self, method, target, headers, body, timeout):
        try:
            answer = self._pool.exchange(
                method,
                target,
                (*self.headers, *headers),
                body,
                timeout or self._timeout,
            )
        except CallNotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        self._check_status(answer, method)
        return answer

    def close(self):
        """Close idle connections."""
        self._pool.close()


def decode_answer(answer, kind):
    """Return an answer's body as ``kind``; raise StoreUnavailableError."""
    try:
        return decode_json(answer.body, kind)
    except DecodeError as error:
        raise StoreUnavailableError(
            f"the store's answer cannot be read: {error}; try again"
        ) from error


def decode_write_answer(answer, kind):
    """Return the body of an answer to a write; raise StoreAnswerLostError."""
    try:
        return decode_answer(answer, kind)
    except StoreUnavailableError as error:
        raise StoreAnswerLostError(str(error)) from error
