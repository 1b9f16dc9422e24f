// Derives a submission's id and hash with BLAKE2b.
#include "jobs/jobsubmission.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <string_view>

namespace cyclamenlatch::jobs {

namespace {

constexpr std::size_t idBytes = 16;

std::string toHex(const std::array<unsigned char, idBytes> &bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

std::string hashHex(std::string_view text)
{
    std::array<unsigned char, idBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr,
                       0);
    return toHex(hash);
}

} // namespace

JobId idOf(const JobSubmission &submission)
{
    if (!submission.idempotencyKey.empty()) {
        // The length keeps (ab, c) and (a, bc) apart.
        return JobId(
                "k"
                + hashHex(fmt::format("{}:{}{}", submission.workspace.value().size(),
                                      submission.workspace.value(), submission.idempotencyKey)));
    }
    std::array<unsigned char, idBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return JobId("j" + toHex(bytes));
}

std::string hashOf(const JobSubmission &submission)
{
    return hashHex(fmt::format("{}:{}\n{}\n{}\n{}\n{}", submission.queue.value().size(),
                               submission.queue.value(), submission.resources.processors,
                               submission.resources.memoryMib, submission.resources.accelerators,
                               submission.body));
}

} // namespace cyclamenlatch::jobs
