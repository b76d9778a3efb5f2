"""Linear regression and Markdown tables."""

import statistics


def line(points):
    """Slope, intercept and standard deviation of the residuals for (x, y) points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - (intercept + slope * x) for x, y in points]
    return slope, intercept, statistics.pstdev(residuals)


def spread(values):
    """Mean, minimum and maximum as text."""
    return f"{number(statistics.mean(values))} ({number(min(values))} to {number(max(values))})"


def number(value):
    """Formats a number with at least three significant digits."""
    if value == 0:
        return "0"
    magnitude = abs(value)
    if magnitude >= 100:
        return f"{value:.0f}"
    if magnitude >= 10:
        return f"{value:.1f}"
    if magnitude >= 1:
        return f"{value:.2f}"
    return f"{value:.3g}"


def print_table(title, header, rows):
    """Prints a Markdown table for docs/CAPACITY-STANDALONE.md."""
    print(f"\n## {title}\n")
    print("| " + " | ".join(header) + " |")
    print("|" + " --- |" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)
