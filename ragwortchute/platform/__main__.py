"""Entry point of the daemon, `python3 -m ragwortchute.platform`."""

import importlib
import signal
import sys

if __name__ == '__main__':
    # The default action of SIGHUP would end the process while it still imports
    # its modules, which takes up to a second on a small host.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = importlib.import_module('ragwortchute.platform.daemon')
    sys.exit(daemon.main())
