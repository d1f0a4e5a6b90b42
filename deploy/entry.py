"""Starts an entry host from the source tree."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))

from cardamomdeal.entry import main  # noqa: E402

if __name__ == '__main__':
    sys.argv.append(os.environ['CARDAMOMDEAL_BOOT'])
    main.main()
