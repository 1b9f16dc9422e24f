// A selector: conditions on labels that must all hold. Text form:
//   tier=gold, zone!=b, size in (s, m), size notin (xl), gpu, !retired
// The empty selector matches every worker.
#pragma once

#include "fleet/selectorterm.h"
#include "global/result.h"

#include <string_view>
#include <vector>

namespace cyclamenlatch::fleet {

class Selector
{
public:
    Selector() = default;
    explicit Selector(std::vector<SelectorTerm> terms)
        : m_terms(std::move(terms))
    {}

    static Result<Selector> parse(std::string_view text);

    bool matches(const Labels &labels) const;
    std::string toString() const;
    const std::vector<SelectorTerm> &terms() const { return m_terms; }

    bool operator==(const Selector &) const = default;

private:
    std::vector<SelectorTerm> m_terms;
};

} // namespace cyclamenlatch::fleet
