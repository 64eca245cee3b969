"""Reading the sidecar's metrics and printing the benchmarks' results."""

METRIC_PREFIX = "ochregrade_"


def metric(text, name):
    """The value of a metric without labels; `name` has no prefix. Raises KeyError if it is missing."""
    for line in text.splitlines():
        if line.startswith(f"{METRIC_PREFIX}{name} "):
            return float(line.rsplit(" ", 1)[1])
    raise KeyError(name)


def print_table(rows):
    """Prints dictionaries with the same keys as a Markdown table; the keys are the columns."""
    columns = list(rows[0])
    print("| " + " | ".join(columns) + " |")
    print("| " + " | ".join("---" for _ in columns) + " |")
    for row in rows:
        print("| " + " | ".join(str(row[column]) for column in columns) + " |")


def median(values):
    """The median; for an even number of values, the larger of the two middle values."""
    return sorted(values)[len(values) // 2]
