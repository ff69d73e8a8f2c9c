"""Plausible plain English for prompts: short reports and requests, the same for the same seed."""

import random

SUBJECTS = ["the morning delivery", "our second visitor group", "the new meeting room",
            "the order from last week", "the water pump", "the printed catalogue",
            "a customer from the coast", "the weekend shift", "the spare key",
            "the quarterly report", "the garden entrance", "the old storage shelf"]
EVENTS = ["arrived two hours late", "was left without a name tag", "needs a new battery",
          "has been moved to the first floor", "was checked twice and found complete",
          "shows a higher reading than yesterday", "is still waiting for a signature",
          "could not be found on Tuesday", "was returned in good condition",
          "has to be ready before noon"]
REASONS = ["because the road was closed", "although nobody had been told", "after the heavy rain",
           "since the list was out of date", "while the office was empty",
           "because two people were ill", "as the supplier had warned"]
WISHES = ["Please tell the person in charge what to do first.",
          "Write a short, friendly note about it.",
          "Summarise this in two sentences for a colleague.",
          "Say which of these points is the most urgent.",
          "Explain the likely cause in simple words.",
          "List what has to be checked before tomorrow."]


class PlainText:
    def __init__(self, seed):
        self._random = random.Random(seed)
        self._number = 0

    def sentence(self):
        choose = self._random.choice
        text = f"{choose(SUBJECTS)} {choose(EVENTS)} {choose(REASONS)}."
        return text[0].upper() + text[1:]

    def prompt(self):
        """A numbered report of some sentences with a wish; no two are equal."""
        self._number += 1
        count = self._random.randint(1, 6)
        body = " ".join(self.sentence() for _ in range(count))
        return f"Report {self._number}. {body} {self._random.choice(WISHES)}"
