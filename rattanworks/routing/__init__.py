"""Choice of endpoint, retries and outlier ejection at the entry node."""
