// Counts the hosts of a wave by step and estimates its finish.
#include "maintenance/waveprogress.h"

#include <algorithm>

namespace cyclamenlatch::maintenance {

namespace {

// Time for draining and rebooting a host, until a host of the wave has shown its own.
constexpr std::chrono::milliseconds firstGuess{180000};

std::chrono::milliseconds perHostOf(const WaveView &view)
{
    RecordTime total = 0;
    RecordTime count = 0;
    for (const auto &[worker, host] : view.hosts) {
        if (host.record.step == HostStep::Done) {
            total += host.record.since - host.record.started;
            ++count;
        }
    }
    return count > 0 ? std::chrono::milliseconds(total / count)
                     : firstGuess + view.wave.record.settings.slowStart;
}

std::size_t longestChain(const WaveView &view)
{
    std::vector<std::size_t> left(view.budgets.budgets.size(), 0);
    std::size_t longest = 0;
    for (const auto &worker : view.wave.record.hosts) {
        const auto host = view.hosts.find(worker);
        if (host != view.hosts.end() && isFinal(host->second.record.step)) {
            continue;
        }
        longest = std::max<std::size_t>(longest, 1);
        const auto touched = view.budgets.touched.find(worker);
        if (touched == view.budgets.touched.end()) {
            continue;
        }
        for (const auto index : touched->second) {
            const std::size_t places = std::max(1U, view.budgets.budgets[index].maxOut);
            ++left[index];
            longest = std::max(longest, (left[index] + places - 1) / places);
        }
    }
    return longest;
}

} // namespace

WaveProgress progressOf(const WaveView &view)
{
    WaveProgress progress;
    progress.hosts = view.wave.record.hosts.size();
    for (const auto &worker : view.wave.record.hosts) {
        const auto host = view.hosts.find(worker);
        const auto step = host == view.hosts.end() ? HostStep::Pending : host->second.record.step;
        if (step == HostStep::Pending) {
            ++progress.pending;
        } else if (step == HostStep::Done) {
            ++progress.done;
        } else if (step == HostStep::SetAside) {
            ++progress.setAside;
        } else {
            ++progress.underWay;
        }
    }
    progress.perHost = perHostOf(view);
    if (view.wave.record.state != WaveState::Done) {
        progress.remaining = progress.perHost * longestChain(view);
    }
    return progress;
}

} // namespace cyclamenlatch::maintenance
