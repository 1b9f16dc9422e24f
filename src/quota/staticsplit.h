// Divides units equally over a fixed number of entries; the remainder goes to the first ones.
#pragma once

namespace cyclamenlatch::quota {

// index counts from 0 and is below entries.
constexpr unsigned staticShare(unsigned units, unsigned entries, unsigned index)
{
    return units / entries + (index < units % entries ? 1 : 0);
}

} // namespace cyclamenlatch::quota
