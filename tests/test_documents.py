"""Environment documents: errors name the invalid entry; renaming and duplicate keys."""

import pytest

from ebonywheel import documents
from test_configuration import DOCUMENT_TEXT

MISTAKES = [
    ('kind = "stream"', 'kind = "streem"', "$.services"),
    ('engine = "planner"', 'engine = "planer"', "services.plan.engine"),
    ('priority = "normal"', 'priority = "high"', "customers.orchard.priority"),
    ('services = ["plan"]', 'services = ["plans"]', "customers.orchard.services"),
    ("cold_slots = 2", 'cold_slots = "two"', "$.engines"),
    ("cold_slots = 2", "cold_slot = 2", "cold_slot"),
    ("warm_slots = 8", "warm_slots = 0", "$.engines"),
    ("normal = 10", "normal = 1000", "$.priorities"),
    ('environment = "trial"', "", "environment"),
    ("[priorities]", "[priorities", "line"),
]


class TestRename:
    @pytest.mark.parametrize("line", ['environment = "trial"', "  environment='trial'  # ours"])
    def test_only_the_name_of_the_environment_changes(self, line):
        text = DOCUMENT_TEXT.replace('environment = "trial"', line)
        renamed = documents.rename_environment(text, "production")
        assert documents.parse(renamed, "x").unwrap().environment == "production"
        assert renamed.count("\n") == text.count("\n")
        assert documents.rename_environment(renamed, "production") == renamed


class TestMistakes:
    @pytest.mark.parametrize(("right", "wrong", "place"), MISTAKES)
    def test_error_names_the_invalid_entry(self, right, wrong, place):
        assert right in DOCUMENT_TEXT
        error = documents.parse(DOCUMENT_TEXT.replace(right, wrong), "trial.toml").unwrap_err()
        assert place in error.text
        assert error.peer == "trial.toml"

    def test_two_customers_with_the_same_key_are_refused(self):
        copy = DOCUMENT_TEXT[DOCUMENT_TEXT.index("[customers.orchard]") :].replace(
            "orchard]", "press]"
        )
        error = documents.parse(DOCUMENT_TEXT + copy, "trial.toml").unwrap_err()
        assert "same key" in error.text
