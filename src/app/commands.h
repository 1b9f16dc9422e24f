// The commands of the cyclamenlatch program. Each returns the process's exit status.
#pragma once

namespace cyclamenlatch::app {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

int runServe();
int runCheck(int argc, char **argv);
int runJob(int argc, char **argv);
int runLoad();
int runWave(int argc, char **argv);
int runWorker(int argc, char **argv);

} // namespace cyclamenlatch::app
