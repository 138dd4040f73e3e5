"""Takes reports of plays into the committed data.

python -m bench.decisions.collect SHEET FOLDER OUTPUT
"""

import sys
from pathlib import Path

from bench.decisions.day import read_kinds
from bench.decisions.plays import collect, save

if __name__ == '__main__':
    sheet, folder, output = map(Path, sys.argv[1:])
    save(collect(folder, read_kinds(sheet)), output)
