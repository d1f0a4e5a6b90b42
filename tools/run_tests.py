"""Runs the tests and sums them up, passing over the known red ones."""

import pathlib
import sys
import unittest

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test: '


class Result(unittest.TextTestResult):
    """Remember which tests passed."""

    def __init__(self, *arguments, **keywords) -> None:
        super().__init__(*arguments, **keywords)
        self.passed: set[str] = set()

    def addSuccess(self, test) -> None:
        """Note a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())


def main() -> int:
    """Run the tests named on the command line, or all."""
    loader = unittest.defaultTestLoader
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover('tests', top_level_dir='.')
    runner = unittest.TextTestRunner(
        resultclass=Result, verbosity=2, stream=sys.stdout
    )
    result = runner.run(suite)
    broken = {_test_id(test) for test, _ in result.failures + result.errors}
    broken |= {test.id() for test in result.unexpectedSuccesses}
    known = _known_red()
    for name in sorted(known):
        state = 'red' if name in broken else 'not red in this run'
        print(f'known red: {name}: {state}')
    failed = broken - known
    print(f'{len(result.passed - broken)} passed, {len(failed)} failed')
    return 1 if failed or not result.passed else 0


def _test_id(test) -> str:
    # A failing subtest counts for the test that it is part of.
    return getattr(test, 'test_case', test).id()


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_RED.read_text(encoding='utf-8').splitlines()
        if line.startswith(TEST_PREFIX)
    }


if __name__ == '__main__':
    sys.exit(main())
