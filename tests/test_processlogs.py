"""Reading of logs while they are written."""

import pytest

import cluster
import platformsystem
import processlogs

LINE = '{"event":"request","status":200}\n'


@pytest.fixture
def node(tmp_path):
    return platformsystem.Node(tmp_path, "entry", 1, "puget-a")


# Guards against tests that fail because they read a line before its write was complete.
def test_a_line_is_read_once_it_is_whole(node):
    for length in range(1, len(LINE)):
        node.log.write_text(LINE + LINE[:length])
        assert len(node.events("request")) == 1
    node.log.write_text(LINE + LINE)
    assert len(node.events("request")) == 2


def test_half_a_line_of_a_process_is_not_shown(tmp_path):
    process = cluster.Process("entry", [], tmp_path / "log")
    process.log.write_text("first\nseco")
    assert process.text() == "first"


def test_a_whole_line_that_cannot_be_decoded_fails(node):
    node.log.write_text('{"event":"requ\n' + LINE)
    with pytest.raises(ValueError, match="Unterminated"):
        node.events("request")


def test_other_lines_are_passed_over(tmp_path):
    (tmp_path / "log").write_text("Traceback\n\n" + LINE)
    assert processlogs.entries(tmp_path / "log") == [{"event": "request", "status": 200}]
