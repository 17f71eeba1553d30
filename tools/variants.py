#!/usr/bin/env python3
"""Plays the same days and seeds with several variants of the code and compares
them pairwise with the first one.

  tools/variants.py --bench PROGRAM --site FILE --days trouble-1,scale-2 \\
      --seeds 1-8 --why TEXT [--plot FILE.svg] NAME=FOLDER...

Each FOLDER is a clone of this repository with the variant's code; variants play
at the same time, one run each, so give no more than cores allow. Worth is
played without the processor's time, which largely repeats. Prints, by day and
over all days, the mean worth of each variant, the mean difference from the
first one on the same days and seeds, and its standard error; a difference
below two of these shows nothing. --plot draws worth by second, mean over all
runs of a variant. Exit status 1 where a run broke a rule or gave no result."""
import argparse
import concurrent.futures
import math
import re
import statistics
import subprocess
import sys

WORTH = re.compile(r"^worth (-?[\d.]+) =", re.M)
SECOND = re.compile(r"^(\d+)((?: +-?[\d.]+){8})$", re.M)
# The column of worth in the table by second, after asked to not owed.
WORTH_COLUMN = 6
COLOURS = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"]


def seeds_of(text):
    low, _, high = text.partition("-")
    return range(int(low), int(high or low) + 1)


def play(options, folder, day, seed):
    """Worth of one run, worth by second, and the lines that name a rule."""
    command = [options.bench, "run", options.site, day, "--seed", str(seed),
               "--no-cpu", "--jobs", "1", "--why", options.why]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    worth = WORTH.search(done.stdout)
    table = done.stdout.partition("from second")[2]
    seconds = {int(row[0]): float(row[1].split()[WORTH_COLUMN - 1])
               for row in SECOND.findall(table)}
    broken = [line for line in done.stdout.splitlines()
              if re.match(r"^[A-Z]{3,9} at ", line)]
    return (float(worth[1]) if worth else None), seconds, broken


def play_all(options, folder):
    return {(day, seed): play(options, folder, day, seed)
            for day in options.days.split(",")
            for seed in seeds_of(options.seeds)}


def complete(keys, runs):
    """Those runs for which all variants have a result."""
    return [key for key in keys
            if all(rows[key][0] is not None for rows in runs.values())]


def mean_worth(keys, rows):
    return statistics.mean(rows[key][0] for key in keys) if keys else 0.0


def difference(keys, first, other):
    """The mean difference of another variant from the first one on the same
    runs, and its standard error; None if there are too few runs for it."""
    gaps = [other[key][0] - first[key][0] for key in keys]
    error = (statistics.stdev(gaps) / math.sqrt(len(gaps))
             if len(gaps) > 1 else None)
    return statistics.mean(gaps) if gaps else 0.0, error


def report_failures(runs):
    """Prints broken rules and runs without a result; returns whether any."""
    bad = False
    for name, rows in runs.items():
        for key, (worth, _, broken) in rows.items():
            *which, seed = key
            title = f"{name} {' '.join(which)} seed {seed}"
            for line in broken:
                print(f"{title}: {line}")
            if worth is None:
                print(f"{title}: no result")
            bad = bad or bool(broken) or worth is None
    return bad


def row_of(title, keys, runs, first):
    """One line of the table, over the runs that all variants have."""
    keys = complete(keys, runs)
    cells = [f"{title:12}"]
    for name, rows in runs.items():
        cell = f"{mean_worth(keys, rows):.3f}"
        mean, error = difference(keys, runs[first], rows)
        if name != first and error is not None:
            cell += f" ({mean:+.3f} +- {error:.3f})"
        cells.append(f"{cell:26}")
    return " ".join(cells).rstrip()


def draw(path, runs):
    """Worth by second as an SVG, a line a variant."""
    width, height, left, top = 900, 360, 50, 20
    lines = {}
    for name, rows in runs.items():
        seconds = {}
        for _, by_second, _ in rows.values():
            for second, worth in by_second.items():
                seconds.setdefault(second, []).append(worth)
        lines[name] = [(second, statistics.mean(seconds[second]))
                       for second in sorted(seconds)]
    last = max((line[-1][0] for line in lines.values() if line), default=1)
    at = lambda second, worth: (left + second / max(last, 1) * width,
                                top + (1 - worth) * height)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width + 80}" '
             f'height="{height + 80}" font-family="sans-serif" font-size="12">',
             '<rect width="100%" height="100%" fill="white"/>']
    for tenth in range(0, 11, 2):
        _, y = at(0, tenth / 10)
        parts.append(f'<line x1="{left}" y1="{y}" x2="{left + width}" y2="{y}" '
                     f'stroke="#ddd"/><text x="10" y="{y + 4}">{tenth / 10}</text>')
    for second in range(0, last + 1, 10):
        x, _ = at(second, 0)
        parts.append(f'<text x="{x}" y="{top + height + 18}">{second} s</text>')
    for colour, (name, line) in zip(COLOURS, lines.items()):
        points = " ".join("%.1f,%.1f" % at(*point) for point in line)
        y = top + height + 36 + 14 * list(lines).index(name) % 42
        parts.append(f'<polyline points="{points}" fill="none" '
                     f'stroke="{colour}" stroke-width="2"/>'
                     f'<text x="{left + 200 * list(lines).index(name)}" '
                     f'y="{top + height + 45}" fill="{colour}">{name}</text>')
    with open(path, "w", encoding="utf-8") as out:
        out.write("\n".join(parts + ["</svg>"]) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bench", "site", "days", "seeds", "why"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--plot")
    parser.add_argument("variants", nargs="+", metavar="NAME=FOLDER")
    options = parser.parse_args()
    folders = dict(text.split("=", 1) for text in options.variants)
    with concurrent.futures.ThreadPoolExecutor(len(folders)) as pool:
        jobs = {name: pool.submit(play_all, options, folder)
                for name, folder in folders.items()}
        runs = {name: job.result() for name, job in jobs.items()}
    first = next(iter(runs))
    print(f"{'':12} " + " ".join(f"{name:26}" for name in runs))
    keys = list(runs[first])
    for day in options.days.split(","):
        print(row_of(day, [key for key in keys if key[0] == day], runs, first))
    print(row_of("all", keys, runs, first))
    bad = report_failures(runs)
    if options.plot:
        draw(options.plot, runs)
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
