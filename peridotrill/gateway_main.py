"""Start of the program ``peridotrill-gateway``; see ``gateway_program``."""

from importlib import import_module

from peridotrill import process_signals


def main() -> None:
    """Handle signals, then import and run the program."""
    process_signals.install()
    # The import takes a good part of a second, in which a signal would have
    # its default action if the modules were imported at the top.
    import_module('peridotrill.gateway_program').main()


if __name__ == '__main__':
    main()
