/// Experiments of `marjoram-load`; each returns the program's exit code.
#pragma once

namespace marjoramtally {

int
RunHttpLoad(int aArgc, char** aArgv);
/// Runs the membership core at the design size.
int
RunMembershipBench(int aArgc, char** aArgv);

int
RunDecide(int aArgc, char** aArgv);

int
RunLedgerBench(int aArgc, char** aArgv);

int
RunRolloutBench(int aArgc, char** aArgv);

int
RunAllocationBench(int aArgc, char** aArgv);

} // namespace marjoramtally
