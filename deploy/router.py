"""Entry point of a router on the users' platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from bulrushstream.compose.entry import main

sys.exit(main())
