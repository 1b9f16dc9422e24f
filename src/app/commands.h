// The commands of the cyclamenlatch program. Each returns the process's exit status.
#pragma once

#include <string_view>

namespace cyclamenlatch::app {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

int runServe();
int runCheck(int argc, char **argv);
int runJob(int argc, char **argv);
int runLoad();
int runReport();
int runWave(int argc, char **argv);
int runWorker(int argc, char **argv);
// The commands that ask an entry's operator interface.
int runOperator(int argc, char **argv);
bool isOperatorCommand(std::string_view command);

} // namespace cyclamenlatch::app
