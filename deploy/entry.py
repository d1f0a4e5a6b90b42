"""Starts an entry host from the source tree."""

import gc
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))

# What the modules create lives as long as the process, so the collector need
# not look at it: neither while they are imported nor later.
gc.disable()
from cardamomdeal.entry import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    sys.argv.append(os.environ['CARDAMOMDEAL_BOOT'])
    main.main()
