"""Runs the tests and reports the results.

Tests listed in KNOWN-RED.txt may fail without failing the run.
"""

import pathlib
import sys
import unittest

KNOWN_FAILURES_FILE = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test: '


class Result(unittest.TextTestResult):
    """Test result that also records which tests passed."""

    def __init__(self, *arguments, **keywords) -> None:
        super().__init__(*arguments, **keywords)
        self.passed: set[str] = set()

    def addSuccess(self, test) -> None:
        """Record a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())


def main() -> int:
    """Run the tests named on the command line, or all tests."""
    loader = unittest.defaultTestLoader
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover('tests', top_level_dir='.')
    runner = unittest.TextTestRunner(
        resultclass=Result, verbosity=2, stream=sys.stdout
    )
    result = runner.run(suite)
    failing = {_test_id(test) for test, _ in result.failures + result.errors}
    failing |= {test.id() for test in result.unexpectedSuccesses}
    known_failures = _read_known_failures()
    for name in sorted(known_failures):
        state = 'red' if name in failing else 'not red in this run'
        print(f'known red: {name}: {state}')
    failed = failing - known_failures
    print(f'{len(result.passed - failing)} passed, {len(failed)} failed')
    return 1 if failed or not result.passed else 0


def _test_id(test) -> str:
    # A subtest that fails makes the test that contains it fail.
    return getattr(test, 'test_case', test).id()


def _read_known_failures() -> set[str]:
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_FAILURES_FILE.read_text(
            encoding='utf-8'
        ).splitlines()
        if line.startswith(TEST_PREFIX)
    }


if __name__ == '__main__':
    sys.exit(main())
