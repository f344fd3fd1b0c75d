"""What the users allow a backend server to get that names a limit."""

WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
SLACK_CALLS = 5


def most_in_window(times):
    """Return the most of the times that lie within one window, 0 for none."""
    counts = [
        sum(start <= time < start + WINDOW_SECONDS for time in times) for start in times
    ]
    return max(counts, default=0)


def allowed_in_window(calls_per_second):
    """Return the most calls that a server with this limit may get in a window."""
    return TOLERANCE * calls_per_second * WINDOW_SECONDS + SLACK_CALLS
