"""Claims stored in pages: a key hashes to a page, which is written by group commit."""

from concurrent.futures import CancelledError, ThreadPoolExecutor, wait
from concurrent.futures import TimeoutError as FutureTimeoutError

from rattanworks.exceptions import StoreError, StoreUnavailableError
from rattanworks.ledger.base import ClaimTable
from rattanworks.ledger.page import AcquireClaim, CompleteClaim, ReleaseClaim
from rattanworks.ledger.page_view import PageView
from rattanworks.ledger.page_writer import PageWriter

PAGE_COUNT = 16
PAGE_WRITES_PER_SECOND = 20.0
PAGE_PREFIX_DIGITS = 8


class PagedClaims(ClaimTable):
    """A ClaimTable in the store, spread over ``pages`` pages.

    ``interval`` is the least average time between writes of a page, in seconds.
    """

    def __init__(
        self, store, clock, pages=PAGE_COUNT, interval=1 / PAGE_WRITES_PER_SECOND
    ):
        self._store = store
        self._executor = ThreadPoolExecutor(pages, "claims")
        self._writers = [
            PageWriter(
                PageView(store, clock, f"{page:03d}"), clock, self._executor, interval
            )
            for page in range(pages)
        ]

    def claim(self, claim, timeout):
        """Return the claim in force on the key."""
        writer = self._writer(claim)
        future = writer.submit(AcquireClaim(claim))
        try:
            return future.result(timeout)
        except (FutureTimeoutError, CancelledError) as error:
            if not future.cancel():
                _try_submit(writer, ReleaseClaim(claim))
            raise StoreUnavailableError("the store is slow; try again later") from error

    def complete(self, claim, timeout):
        """Record the outcome of a claimed call."""
        return self._write(CompleteClaim(claim), timeout)

    def release(self, claim, timeout):
        """Release a claim whose call did not run."""
        return self._write(ReleaseClaim(claim), timeout)

    def _write(self, change, timeout):
        future = _try_submit(self._writer(change.claim), change)
        if future is None or not wait([future], timeout).done:
            return False
        return future.exception() is None

    def page_of(self, claim):
        """Return the number of the page that a claim's key hashes to."""
        return int(claim.key[:PAGE_PREFIX_DIGITS], 16) % len(self._writers)

    def _writer(self, claim):
        return self._writers[self.page_of(claim)]

    def close(self):
        """Write the queued changes without retries and end the threads."""
        for writer in self._writers:
            writer.stop()
        self._executor.shutdown(wait=True)


def _try_submit(writer, change):
    try:
        return writer.submit(change)
    except StoreError:
        # The claim stays as it is. This is safe, as repeats of its key do not run.
        return None
