"""Collects the reports of plays into a data file for the repository.

python -m bench.decisions.collect SHEET FOLDER OUTPUT
"""

import sys
from pathlib import Path

from bench.decisions.day import read_kinds
from bench.decisions.plays import collect, save

if __name__ == '__main__':
    sheet, folder, output = map(Path, sys.argv[1:])
    save(collect(folder, read_kinds(sheet)), output)
