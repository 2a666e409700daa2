#!/usr/bin/env python3
"""Mutation test of the decision logic.

Breaks one rule at a time in a copy below build/mutants, builds it and runs the
test suite of the rule. Prints whether the suite killed the mutant; a mutant
that does not build, or whose suite runs for more than 120 s, counts as killed.
Exits with 1 if a mutant survived or its source text was not found. RC_PARAMS
sets the seed and the number of cases of the property tests.
"""

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPY = ROOT / "build/mutants"
CORE = "src/quetzalquay/core/"

# Rule, source file, original text, replacement, suite that must fail.
MUTANTS = [
    ("a token with a gap before it is not accepted", "Generation.cpp",
     "if (aEvent.mIndex > expected) {", "if (false) {", "GenerationTests"),
    ("duplicate tokens are dropped", "Generation.cpp",
     "if (aEvent.mIndex < expected) {", "if (false) {", "GenerationTests"),
    ("events of earlier attempts are dropped", "Generation.cpp",
     "if (!listening || aEvent.mAttempt != mAttempt) {",
     "if (!listening) {", "GenerationTests"),
    ("an event that does not match the request ends the attempt",
     "Generation.cpp",
     "if (!MatchesRequest(aEvent)) {", "if (false) {", "GenerationTests"),
    ("a silent non-idempotent request is not moved to another target",
     "Generation.cpp",
     "if (mSpec.mIdempotent || aKnownStopped) {", "if (true) {",
     "GenerationTests"),
    ("a non-idempotent request without tokens is not restarted",
     "Generation.cpp", "if (!mSpec.mIdempotent && mTokens.empty()) {",
     "if (false) {", "GenerationTests"),
    ("continuations of non-idempotent requests are fenced", "Generation.cpp",
     "if (!mSpec.mIdempotent && !mTokens.empty()) {", "if (false) {",
     "GenerationTests"),
    ("resuming a stream requires the tokens that the caller has",
     "Generation.cpp",
     "if (static_cast<int>(mTokens.size()) < mDeliverFrom) {",
     "if (false) {", "GenerationTests"),
    ("the deadline ends a request", "Generation.cpp",
     "if (aNow >= mSpec.mDeadline) {", "if (false) {", "GenerationTests"),
    ("a lost claim response is resolved by its nonce", "ClaimBatcher.cpp",
     "if (record && record->mNonce == aEntry.mRecord.mNonce) {",
     "if (false) {", "ClaimBookTests"),
    ("a claim that another request holds is not granted", "ClaimBatcher.cpp",
     "claimResult.mStatus = ClaimStatus::Taken;",
     "claimResult.mStatus = ClaimStatus::Claimed;", "ClaimBookTests"),
    ("journal entries are joined without gaps", "JournalPlanner.cpp",
     "if (it.mFrom > known || end <= known) {", "if (end <= known) {",
     "JournalBookTests"),
    ("journal objects are kept for a time after their streams end",
     "JournalPlanner.cpp",
     "mExpired.push_back({ it, aNow + kObjectRetention });",
     "mExpired.push_back({ it, aNow });", "JournalBookTests"),
    ("one engine death is blamed on its requests once", "TargetTable.cpp",
     "it.mBlamed = true;", "it.mBlamed = false;", "TargetTableTests"),
    ("only the suspects with the most deaths are blamed",
     "SuspectRegistry.cpp",
     "if (Deaths(it, aNow) == most) {", "if (true) {", "TargetTableTests"),
    ("leaving targets get no requests", "TargetTable.cpp",
     "if (IsLeaving(aTarget) || aTarget.mLoading ||",
     "if (aTarget.mLoading ||", "TargetTableTests"),
    ("a router that has heard of a newer revision applies it in time or stops "
     "serving",
     "ConfigurationFreshness.cpp", "if (mLatestKnownRevision > mAppliedRevision) {",
     "if (false) {", "ConfigurationTests"),
    ("configuration confirmations expire", "ConfigurationFreshness.cpp",
     "return reportedAt[needed - 1] + kConfirmationLifetime;", "return Time::max();",
     "ConfigurationTests"),
    ("a lease is taken over only after it has expired", "LeaseHolder.cpp",
     "if (!expired) {", "if (false) {", "ControllerTests"),
    ("the holder stops acting when its lease has expired", "LeaseHolder.cpp",
     "return mHeld && aNow < mHeldUntil;", "return mHeld;",
     "ControllerTests"),
    ("a rollout limits the share of targets that load a version",
     "RolloutPlan.cpp",
     "if (loads && loading >= mostLoading) {", "if (false) {",
     "ControllerTests"),
    ("a continuation is rejected if a newer owner exists",
     "ContinuationFence.cpp",
     "if (aRecord && !own && aRecord->mAttempt > mKnownAttempt) {",
     "if (false) {", "ContinuationFenceTests"),
    ("queue turns follow the workspace weights", "FairQueue.cpp",
     "+ 1.0 / std::max(1, aWeight);", "+ 1.0;", "FairnessTests"),
    ("a non-idempotent plain call is not retried", "PlainCall.cpp",
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
        sys.exit("the unmodified copy does not build")
    environment = dict(os.environ)
    environment.setdefault("RC_PARAMS",
                           "seed=20261203 max_success=2000 max_size=60")
    failures = 0
    for rule, name, text, replacement, suite in MUTANTS:
        path = COPY / CORE / name
        original = path.read_text()
        if text not in original:
            print(f"STALE    {rule}")
            failures += 1
            continue
        path.write_text(original.replace(text, replacement))
        built = build()
        try:
            killed = not built or subprocess.run(
                [str(COPY / "build/quetzal-tests-introspective"), suite],
                cwd=COPY, env=environment, capture_output=True,
                timeout=120).returncode != 0
        except subprocess.TimeoutExpired:
            killed = True
        path.write_text(original)
        failures += 0 if killed else 1
        print(f"{'killed' if killed else 'SURVIVED':8} {rule}"
              f"{'' if built else ' (does not build)'}", flush=True)
    print(f"{len(MUTANTS) - failures} of {len(MUTANTS)} killed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
