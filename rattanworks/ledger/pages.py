"""Claims kept in pages: keys hash to pages, each written by group commit."""

from concurrent.futures import CancelledError, ThreadPoolExecutor, wait
from concurrent.futures import TimeoutError as FutureTimeoutError

from rattanworks.exceptions import StoreError, StoreUnavailableError
from rattanworks.ledger.base import ClaimTable
from rattanworks.ledger.page import Claiming, Releasing, Settling
from rattanworks.ledger.page_view import PageView
from rattanworks.ledger.page_writer import PageWriter

PAGES = 16
PAGE_WRITES_PER_SECOND = 20.0
PAGE_DIGITS = 8


class PagedClaims(ClaimTable):
    """A ClaimTable over the store with ``pages`` records that change."""

    def __init__(self, store, clock, pages=PAGES, interval=1 / PAGE_WRITES_PER_SECOND):
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
        future = writer.submit(Claiming(claim))
        try:
            return future.result(timeout)
        except (FutureTimeoutError, CancelledError) as error:
            if not future.cancel():
                _try_submit(writer, Releasing(claim))
            raise StoreUnavailableError("the store is slow; try again later") from error

    def complete(self, claim, timeout):
        """Record how a claimed call ended."""
        return self._write(Settling(claim), timeout)

    def release(self, claim, timeout):
        """Give up a claim whose call did not run."""
        return self._write(Releasing(claim), timeout)

    def _write(self, change, timeout):
        future = _try_submit(self._writer(change.claim), change)
        if future is None or not wait([future], timeout).done:
            return False
        return future.exception() is None

    def page_of(self, claim):
        """Return the number of the page that a claim's key hashes to."""
        return int(claim.key[:PAGE_DIGITS], 16) % len(self._writers)

    def _writer(self, claim):
        return self._writers[self.page_of(claim)]

    def close(self):
        """Write what waits, once, and end the threads."""
        for writer in self._writers:
            writer.stop()
        self._executor.shutdown(wait=True)


def _try_submit(writer, change):
    try:
        return writer.submit(change)
    except StoreError:
        # The claim stays as it is and refuses repeats, which is safe.
        return None
