#!/usr/bin/env python3
"""Compares two commits of this repository on the same sites, days and seeds.

  tools/pairs.py --bench PROGRAM --work FOLDER --old COMMIT --new COMMIT \\
      --site FILE [--site FILE...] --days scale-1,deploy/days/FILE.toml \\
      --seeds 1-8 --why TEXT [--jobs N]

Keeps a clone of each commit in FOLDER/old and FOLDER/new, which later calls use
again, builds each by the bench program's `build` verb, and plays every run with
tools/variants.py. Prints, by site and day and over all of them, the mean worth
of both commits, the mean difference on the same runs, its standard error, and
how many rules the old and the new commit broke; a difference below two standard
errors shows nothing. Exit status 1 where a run broke a rule or gave no result."""
import argparse
import concurrent.futures
import itertools
import os
import pathlib
import subprocess
import sys

# Leaves no cache of the import in the repository.
sys.dont_write_bytecode = True
import variants

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ("old", "new")


def git(folder, *args):
    done = subprocess.run(["git", "-C", folder, *args], capture_output=True,
                          text=True)
    if done.returncode:
        sys.exit(f"git {' '.join(args)} in {folder}: {done.stderr.strip()}")
    return done.stdout.strip()


def absolute(text):
    """A file as seen from here, since both clones must use the same one; other
    text, such as the name of a day that the bench lists, is returned as is."""
    return os.path.abspath(text) if os.path.exists(text) else text


def check_out(folder, commit):
    """Makes or reuses a clone. The journal entries of its runs are kept; other
    changes are refused, as they would be played in place of the commit."""
    if not (folder / ".git").exists():
        folder.parent.mkdir(parents=True, exist_ok=True)
        git(ROOT, "clone", "--no-checkout", ROOT, folder)
    git(folder, "fetch", "--quiet", ROOT, commit)
    git(folder, "checkout", "--quiet", "--detach", commit)
    changed = git(folder, "diff", "--name-only", "HEAD", "--", ".",
                  ":!journal")
    if changed:
        sys.exit(f"{folder} has changes that are not in the commit: {changed}")


def build(bench, folder):
    done = subprocess.run([bench, "build"], cwd=folder, capture_output=True,
                          text=True)
    if done.returncode:
        sys.exit(f"build in {folder}: {done.stdout}{done.stderr}")


def play_all(options, folders):
    """Results of both commits by name and by site, day and seed. The runs of a
    pair are started one after the other, so that both meet the same load."""
    keys = list(itertools.product(options.site, options.days.split(","),
                                  variants.seeds_of(options.seeds)))
    runs = {name: {} for name in NAMES}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        jobs = {}
        for site, day, seed in keys:
            of = argparse.Namespace(bench=options.bench, site=absolute(site),
                                    why=options.why)
            for name in NAMES:
                jobs[name, (site, day, seed)] = pool.submit(
                    variants.play, of, folders[name], absolute(day), seed)
        for (name, key), job in jobs.items():
            runs[name][key] = job.result()
    return runs


def label(text):
    return pathlib.PurePath(text).stem


def row_of(site, day, keys, runs):
    both = variants.complete(keys, runs)
    cells = [f"{site:20} {day:20} {len(both):5}"]
    for name in NAMES:
        cells.append(f"{variants.mean_worth(both, runs[name]):8.3f}")
    mean, error = variants.difference(both, runs["old"], runs["new"])
    cells.append(f"{mean:+10.3f}" if both else f"{'-':>10}")
    cells.append(f"{'-':>9}" if error is None else f"{error:9.3f}")
    broken = [sum(len(runs[name][key][2]) for key in keys) for name in NAMES]
    cells.append(f"{broken[0]}/{broken[1]}")
    return " ".join(cells)


def show(options, runs):
    print(f"{'site':20} {'day':20} pairs      old      new difference "
          "std error broken (old/new)")
    keys = list(runs["old"])
    for site, day in itertools.product(options.site, options.days.split(",")):
        own = [key for key in keys if key[:2] == (site, day)]
        print(row_of(label(site), label(day), own, runs))
    print(row_of("all", "", keys, runs))


def main():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    for name in ("bench", "work", "old", "new", "days", "seeds", "why"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--jobs", type=int, default=2,
                        help="runs at a time, of both commits together")
    options = parser.parse_args()
    options.bench = absolute(options.bench)
    # Resolved here, as a branch may stand elsewhere in a clone.
    commits = {name: git(ROOT, "rev-parse", "--verify",
                         getattr(options, name) + "^{commit}")
               for name in NAMES}
    folders = {name: pathlib.Path(options.work).resolve() / name
               for name in NAMES}
    for name in NAMES:
        check_out(folders[name], commits[name])
        build(options.bench, folders[name])
    runs = play_all(options, folders)
    show(options, runs)
    sys.exit(1 if variants.report_failures(runs) else 0)


if __name__ == "__main__":
    main()
