"""Host settings: error messages name the file, the key, and the expected and found values."""

import pytest

from ebonywheel import exceptions, settings

VALID_SETTINGS = """
environment = "production"
server_secret_file = "server-secret"
[host]
name = "entry-1"
data_centre = "puget"
link = "127.0.2.1:7100"
http = "127.0.2.1:7101"
secret_file = "secret"
[[control]]
name = "control-1"
data_centre = "puget"
link = "127.0.1.1:7100"
"""

MISTAKES = [
    ('name = "entry-1"', 'name = "Entry 1"', "$.host.name"),
    ('link = "127.0.2.1:7100"', 'link = "here:7100"', "$.host.link"),
    ('http = "127.0.2.1:7101"', "http = 7101", "`str`, got `int` - at `$.host.http`"),
    ('environment = "production"', "", "environment"),
    ('environment = "production"', 'enviroment = "production"', "enviroment"),
    ("[[control]]", "[[controls]]", "control"),
    ('data_centre = "puget"', "data_centre = 1", "$.host.data_centre"),
    ('server_secret_file = "server-secret"', "drain_limit_s = 0", "$.drain_limit_s"),
    ("[host]", "[host", "line"),
    ('secret_file = "secret"\n[[', 'log_level = "LOUD"\nsecret_file = "secret"\n[[', "log_level"),
]


def load_settings(tmp_path, text):
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return settings.load(str(path), settings.EntrySettings)


class TestMistakes:
    def test_valid_settings_are_loaded(self, tmp_path):
        assert load_settings(tmp_path, VALID_SETTINGS).unwrap().host.name == "entry-1"

    @pytest.mark.parametrize(("right", "wrong", "place"), MISTAKES)
    def test_error_names_file_and_place(self, tmp_path, right, wrong, place):
        assert right in VALID_SETTINGS
        error = load_settings(tmp_path, VALID_SETTINGS.replace(right, wrong, 1)).unwrap_err()
        assert place in error.text
        assert error.peer.endswith("entry.toml")
        assert error.step == "check settings"

    def test_error_names_the_missing_file(self, tmp_path):
        error = settings.load(str(tmp_path / "none.toml"), settings.EntrySettings).unwrap_err()
        assert (error.step, error.peer) == ("read settings", str(tmp_path / "none.toml"))


class TestSecrets:
    @pytest.mark.parametrize("content", ["", "short", "  short  \n"])
    def test_short_secret_is_refused(self, tmp_path, content):
        path = tmp_path / "secret"
        path.write_text(content)
        with pytest.raises(exceptions.SettingsError, match="shorter than 16"):
            settings.read_secret(str(path))

    def test_surrounding_white_space_is_stripped(self, tmp_path):
        path = tmp_path / "secret"
        path.write_text("  sixteen-chars-ok\n")
        assert settings.read_secret(str(path)) == b"sixteen-chars-ok"
