"""Start a router on the users' platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from bulrushstream.frontmain import main  # noqa: E402

sys.exit(main())
