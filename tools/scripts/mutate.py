#!/usr/bin/env python3
"""Breaks one rule of the decision logic at a time and runs its tests.

Each mutant is built in a copy below build/mutants. Prints whether a test
noticed; exits with 1 when one did not. RC_PARAMS bounds the cases.
"""

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPY = ROOT / "build/mutants"
CORE = "src/quetzalquay/core/"

# Rule, file, text, replacement, suite that has to notice.
MUTANTS = [
    ("tokens only at the next index", "Generation.cpp",
     "if (aEvent.mIndex > expected) {", "if (false) {", "GenerationTests"),
    ("repeated tokens are dropped", "Generation.cpp",
     "if (aEvent.mIndex < expected) {", "if (false) {", "GenerationTests"),
    ("late attempts are dropped", "Generation.cpp",
     "if (!listening || aEvent.mAttempt != mAttempt) {",
     "if (!listening) {", "GenerationTests"),
    ("foreign events end the attempt", "Generation.cpp",
     "if (!EchoMatches(aEvent)) {", "if (false) {", "GenerationTests"),
    ("silent non-idempotent work is not moved", "Generation.cpp",
     "if (mSpec.mIdempotent || aKnownStopped) {", "if (true) {",
     "GenerationTests"),
    ("non-idempotent work without a token is not restarted",
     "Generation.cpp", "if (!mSpec.mIdempotent && mTokens.empty()) {",
     "if (false) {", "GenerationTests"),
    ("continuations of non-idempotent work are fenced", "Generation.cpp",
     "if (!mSpec.mIdempotent && !mTokens.empty()) {", "if (false) {",
     "GenerationTests"),
    ("a takeover needs the caller's tokens", "Generation.cpp",
     "if (static_cast<int>(mTokens.size()) < mDeliverFrom) {",
     "if (false) {", "GenerationTests"),
    ("the deadline ends a request", "Generation.cpp",
     "if (aNow >= mSpec.mDeadline) {", "if (false) {", "GenerationTests"),
    ("a lost claim answer is settled by its nonce", "ClaimBook.cpp",
     "if (record && record->mNonce == aEntry.mRecord.mNonce) {",
     "if (false) {", "ClaimBookTests"),
    ("a taken claim is not claimed", "ClaimBook.cpp",
     "answer.mStatus = ClaimStatus::Taken;",
     "answer.mStatus = ClaimStatus::Claimed;", "ClaimBookTests"),
    ("journal parts leave no gap", "JournalBook.cpp",
     "if (it.mFrom > known || end <= known) {", "if (end <= known) {",
     "JournalBookTests"),
    ("objects outlive their streams", "JournalBook.cpp",
     "mExpired.push_back({ it, aNow + kObjectGrace });",
     "mExpired.push_back({ it, aNow });", "JournalBookTests"),
    ("one death is blamed once", "TargetTable.cpp",
     "it.mBlamed = true;", "it.mBlamed = false;", "TargetTableTests"),
    ("a known suspect is blamed alone", "SuspectRegistry.cpp",
     "if (Deaths(it, aNow) == most) {", "if (true) {", "TargetTableTests"),
    ("leaving targets get no work", "TargetTable.cpp",
     "if (IsLeaving(aTarget) || aTarget.mLoading ||",
     "if (aTarget.mLoading ||", "TargetTableTests"),
    ("a heard revision ends serving with an older one",
     "ConfigurationFreshness.cpp", "if (mHeard > mApplied) {",
     "if (false) {", "ConfigurationTests"),
    ("confirmations grow old", "ConfigurationFreshness.cpp",
     "return heard[needed - 1] + kConfirmedFor;", "return Time::max();",
     "ConfigurationTests"),
    ("a lease is taken only after it lapsed", "LeaseHolder.cpp",
     "if (!lapsed) {", "if (false) {", "ControllerTests"),
    ("a lease ends for its holder", "LeaseHolder.cpp",
     "return mHolding && aNow < mHoldsUntil;", "return mHolding;",
     "ControllerTests"),
    ("a rollout loads a share at a time", "RolloutPlan.cpp",
     "if (loads && loading >= mostLoading) {", "if (false) {",
     "ControllerTests"),
    ("a newer owner refuses a continuation", "ContinuationFence.cpp",
     "if (aRecord && !own && aRecord->mAttempt > mKnownAttempt) {",
     "if (false) {", "ContinuationFenceTests"),
    ("turns follow weights", "FairQueue.cpp",
     "+ 1.0 / std::max(1, aWeight);", "+ 1.0;", "FairnessTests"),
    ("a plain call that may not be repeated is not", "PlainCall.cpp",
     "if (!mIdempotent) {", "if (false) {", "WireTests"),
]


def build():
    command = ["ninja", "-C", str(COPY / "build"),
               "quetzal-tests-introspective"]
    return subprocess.run(command, capture_output=True).returncode == 0


def main():
    if COPY.exists():
        shutil.rmtree(COPY)
    COPY.mkdir(parents=True)
    for name in ("src", "tests", "examples", "CMakeLists.txt"):
        source = ROOT / name
        (shutil.copytree if source.is_dir() else shutil.copy)(
            source, COPY / name)
    subprocess.run(["cmake", "-S", str(COPY), "-B", str(COPY / "build"),
                    "-G", "Ninja"], check=True, capture_output=True)
    if not build():
        sys.exit("the copy does not build")
    environment = dict(os.environ)
    environment.setdefault("RC_PARAMS",
                           "seed=20261203 max_success=2000 max_size=60")
    missed = 0
    for rule, name, text, replacement, suite in MUTANTS:
        path = COPY / CORE / name
        original = path.read_text()
        if text not in original:
            print(f"STALE  {rule}")
            missed += 1
            continue
        path.write_text(original.replace(text, replacement))
        built = build()
        try:
            noticed = not built or subprocess.run(
                [str(COPY / "build/quetzal-tests-introspective"), suite],
                cwd=COPY, env=environment, capture_output=True,
                timeout=120).returncode != 0
        except subprocess.TimeoutExpired:
            noticed = True
        path.write_text(original)
        missed += 0 if noticed else 1
        print(f"{'noticed' if noticed else 'MISSED ':7} {rule}"
              f"{'' if built else ' (does not build)'}", flush=True)
    print(f"{len(MUTANTS) - missed} of {len(MUTANTS)} noticed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
