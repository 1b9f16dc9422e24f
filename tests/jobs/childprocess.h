// Runs one of our programs, reads what it prints, and ends it at the latest with this object.
#pragma once

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cyclamenlatch::testing {

class ChildProcess
{
public:
    explicit ChildProcess(const std::vector<std::string> &command)
    {
        int ends[2] = {-1, -1};
        if (pipe(ends) != 0) {
            std::abort();
        }
        std::vector<char *> arguments;
        arguments.reserve(command.size() + 1);
        for (const auto &argument : command) {
            arguments.push_back(const_cast<char *>(argument.c_str()));
        }
        arguments.push_back(nullptr);
        m_pid = fork();
        if (m_pid == 0) {
            dup2(ends[1], STDOUT_FILENO);
            dup2(ends[1], STDERR_FILENO);
            close(ends[0]);
            close(ends[1]);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        close(ends[1]);
        m_output = ends[0];
    }
    ~ChildProcess()
    {
        kill(SIGKILL);
        close(m_output);
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Reads until the text has been printed; returns the rest of its line, or nothing at the end
    // of the output.
    std::string waitFor(const std::string &text)
    {
        for (;;) {
            const auto found = m_text.find(text);
            const auto end = found == std::string::npos ? found : m_text.find('\n', found);
            if (end != std::string::npos) {
                const auto begin = found + text.size();
                return m_text.substr(begin, end - begin);
            }
            char buffer[4096];
            const auto size = read(m_output, buffer, sizeof buffer);
            if (size <= 0) {
                return "";
            }
            m_text.append(buffer, static_cast<std::size_t>(size));
        }
    }

    // What has been read of its output, for the message of a failed check.
    const std::string &printed() const { return m_text; }

    // Of the process; -1 once it was ended.
    pid_t pid() const { return m_pid; }

    // Sends a signal that does not end the process.
    void signal(int signal) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }

    // Ends the process with the signal and waits for its end.
    void kill(int signal)
    {
        if (m_pid > 0) {
            const auto pid = std::exchange(m_pid, -1);
            ::kill(pid, signal);
            while (waitpid(pid, nullptr, 0) < 0 && errno == EINTR) {
            }
        }
    }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_text;
};

} // namespace cyclamenlatch::testing
