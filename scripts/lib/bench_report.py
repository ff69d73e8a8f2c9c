"""The benchmark's report: one HTML page with tables and SVG plots."""

import html

WIDTH, HEIGHT, MARGIN = 640, 260, 48
COLOURS = ["#222222", "#1f77b4", "#d62728", "#ff7f0e", "#2ca02c", "#9467bd", "#8c564b", "#17becf"]


def curve_points(percentiles, longest):
    """Points of a latency curve: x is the latency, y the fraction of requests below it."""
    inner_width, inner_height = WIDTH - 2 * MARGIN, HEIGHT - 2 * MARGIN
    return " ".join(
        f"{MARGIN + inner_width * min(latency, longest) / longest:.1f},"
        f"{HEIGHT - MARGIN - inner_height * fraction:.1f}"
        for fraction, latency in percentiles)


def plot(title, runs, key):
    """One SVG with the cumulative distribution of every run."""
    longest = max(run[key][-1][1] for run in runs) or 1
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 180}" height="{HEIGHT}" '
             'font-family="sans-serif" font-size="11">',
             f'<text x="{MARGIN}" y="20" font-size="14">{html.escape(title)}</text>',
             f'<rect x="{MARGIN}" y="{MARGIN}" width="{WIDTH - 2 * MARGIN}" '
             f'height="{HEIGHT - 2 * MARGIN}" fill="none" stroke="#999"/>']
    for tick in range(6):
        x = MARGIN + (WIDTH - 2 * MARGIN) * tick / 5
        parts.append(f'<text x="{x - 10:.0f}" y="{HEIGHT - MARGIN + 16}">'
                     f'{longest * tick / 5:.1f} ms</text>')
    for fraction in (0, 0.5, 1):
        y = HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * fraction
        parts.append(f'<text x="8" y="{y + 4:.0f}">{100 * fraction:.0f} %</text>')
    for number, run in enumerate(runs):
        colour = COLOURS[number % len(COLOURS)]
        parts.append(f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" '
                     f'points="{curve_points(run[key], longest)}"/>')
        parts.append(f'<text x="{WIDTH}" y="{MARGIN + 16 * number}" fill="{colour}">'
                     f'{html.escape(run["name"])}</text>')
    parts.append("</svg>")
    return "\n".join(parts)


def table(rows):
    """An HTML table of dictionaries with the same keys."""
    names = [name for name, value in rows[0].items() if not isinstance(value, list)]
    lines = ["<table><tr>" + "".join(f"<th>{html.escape(name)}</th>" for name in names) + "</tr>"]
    for row in rows:
        cells = (f"{row[name]:.3f}" if isinstance(row[name], float) else str(row[name])
                 for name in names)
        lines.append("<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>")
    return "\n".join(lines) + "</table>"


def write(folder, result, virtual):
    """Writes report.html and one SVG file a plot. Returns the page's path."""
    body = [f"<h1>Benchmark, seed {result['seed']}</h1>"]
    live = {name: value for name, value in result.items() if name != "deployments"}
    body.append(table([{"figure": name, "value": value} for name, value in live.items()]))
    for name, deployment in virtual["deployments"].items():
        body.append(f"<h2>{html.escape(name)}</h2>")
        body.append(table([deployment["summary"]]))
        body.append(table(deployment["runs"]))
        for key, title in (("first_token_ms", "first token"), ("inter_token_ms", "time per token")):
            picture = plot(f"{name}: {title}", deployment["runs"], key)
            (folder / f"{name}_{key}.svg").write_text(picture)
            body.append(picture)
    page = folder / "report.html"
    page.write_text("<!doctype html><meta charset=utf-8><style>td,th{padding:2px 8px;"
                    "text-align:right}body{font-family:sans-serif}</style>" + "\n".join(body))
    return page
