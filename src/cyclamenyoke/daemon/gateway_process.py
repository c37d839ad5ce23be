"""The entry point of a gateway process.

Run as ``python3 -m cyclamenyoke.daemon.gateway_process``.
"""

from cyclamenyoke.daemon.process_signals import ProcessSignals


def main() -> None:
    """Settle what signals do, and then load and run the gateway."""
    signals = ProcessSignals()
    signals.install()
    # Loading takes most of a start, so signals often arrive meanwhile.
    from cyclamenyoke.daemon.gateway import run

    run(signals)


if __name__ == "__main__":
    main()
