// Parses, matches and prints selectors.
#include "fleet/selector.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cctype>

namespace cyclamenlatch::fleet {

namespace {

template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
           || character == '_' || character == '.' || character == '/';
}

// Reads a selector from left to right.
class SelectorReader
{
public:
    explicit SelectorReader(std::string_view text)
        : m_text(text)
    {}

    Result<std::vector<SelectorTerm>> readAll()
    {
        std::vector<SelectorTerm> terms;
        skipSpaces();
        while (!atEnd()) {
            BOOST_OUTCOME_TRY(term, readTerm());
            terms.push_back(std::move(term));
            skipSpaces();
            if (atEnd()) {
                break;
            }
            if (!take(',')) {
                return mistake("expected \",\" between two conditions");
            }
            skipSpaces();
            if (atEnd()) {
                return mistake("a condition must follow \",\"");
            }
        }
        return terms;
    }

private:
    Result<SelectorTerm> readTerm()
    {
        if (take('!')) {
            BOOST_OUTCOME_TRY(label, readName());
            return SelectorTerm{LabelAbsent{std::move(label)}};
        }
        BOOST_OUTCOME_TRY(label, readName());
        skipSpaces();
        if (takeText("!=")) {
            BOOST_OUTCOME_TRY(value, readName());
            return SelectorTerm{LabelDiffers{std::move(label), std::move(value)}};
        }
        if (take('=')) {
            take('=');
            BOOST_OUTCOME_TRY(value, readName());
            return SelectorTerm{LabelEquals{std::move(label), std::move(value)}};
        }
        if (takeText("notin")) {
            BOOST_OUTCOME_TRY(values, readValues());
            return SelectorTerm{LabelNotIn{std::move(label), std::move(values)}};
        }
        if (takeText("in")) {
            BOOST_OUTCOME_TRY(values, readValues());
            return SelectorTerm{LabelIn{std::move(label), std::move(values)}};
        }
        return SelectorTerm{LabelExists{std::move(label)}};
    }

    Result<std::vector<std::string>> readValues()
    {
        skipSpaces();
        if (!take('(')) {
            return mistake("expected \"(\" before the values");
        }
        std::vector<std::string> values;
        while (true) {
            BOOST_OUTCOME_TRY(value, readName());
            values.push_back(std::move(value));
            skipSpaces();
            if (take(')')) {
                return values;
            }
            if (!take(',')) {
                return mistake("expected \",\" or \")\" after a value");
            }
        }
    }

    Result<std::string> readName()
    {
        skipSpaces();
        const std::size_t first = m_position;
        while (!atEnd() && isNameCharacter(m_text[m_position])) {
            ++m_position;
        }
        if (m_position == first) {
            return mistake("expected a name of letters, digits, \"-\", \"_\", \".\" or \"/\"");
        }
        return std::string(m_text.substr(first, m_position - first));
    }

    boost::outcome_v2::failure_type<Error> mistake(std::string_view what) const
    {
        return failure(
                ErrorKind::InvalidInput,
                fmt::format("selector \"{}\", character {}: {}", m_text, m_position + 1, what),
                "write conditions such as: tier=gold, size in (s, m), !retired");
    }

    bool take(char character)
    {
        if (atEnd() || m_text[m_position] != character) {
            return false;
        }
        ++m_position;
        return true;
    }

    bool takeText(std::string_view text)
    {
        if (!m_text.substr(m_position).starts_with(text)) {
            return false;
        }
        m_position += text.size();
        return true;
    }

    void skipSpaces()
    {
        while (!atEnd() && m_text[m_position] == ' ') {
            ++m_position;
        }
    }

    bool atEnd() const { return m_position >= m_text.size(); }

    std::string_view m_text;
    std::size_t m_position = 0;
};

std::string printTerm(const SelectorTerm &term)
{
    return std::visit(
            Overloaded{
                    [](const LabelEquals &t) { return fmt::format("{}={}", t.label, t.value); },
                    [](const LabelDiffers &t) { return fmt::format("{}!={}", t.label, t.value); },
                    [](const LabelIn &t) {
                        return fmt::format("{} in ({})", t.label, fmt::join(t.values, ", "));
                    },
                    [](const LabelNotIn &t) {
                        return fmt::format("{} notin ({})", t.label, fmt::join(t.values, ", "));
                    },
                    [](const LabelExists &t) { return t.label; },
                    [](const LabelAbsent &t) { return "!" + t.label; },
            },
            term);
}

} // namespace

bool matches(const SelectorTerm &term, const Labels &labels)
{
    const auto valueOf = [&labels](const std::string &label) -> const std::string * {
        const auto found = labels.find(label);
        return found == labels.end() ? nullptr : &found->second;
    };
    return std::visit(Overloaded{
                              [&](const LabelEquals &t) {
                                  const auto *value = valueOf(t.label);
                                  return value != nullptr && *value == t.value;
                              },
                              [&](const LabelDiffers &t) {
                                  const auto *value = valueOf(t.label);
                                  return value == nullptr || *value != t.value;
                              },
                              [&](const LabelIn &t) {
                                  const auto *value = valueOf(t.label);
                                  return value != nullptr && contains(t.values, *value);
                              },
                              [&](const LabelNotIn &t) {
                                  const auto *value = valueOf(t.label);
                                  return value == nullptr || !contains(t.values, *value);
                              },
                              [&](const LabelExists &t) { return valueOf(t.label) != nullptr; },
                              [&](const LabelAbsent &t) { return valueOf(t.label) == nullptr; },
                      },
                      term);
}

Result<Selector> Selector::parse(std::string_view text)
{
    BOOST_OUTCOME_TRY(terms, SelectorReader(text).readAll());
    return Selector(std::move(terms));
}

bool Selector::matches(const Labels &labels) const
{
    return std::all_of(m_terms.begin(), m_terms.end(), [&labels](const SelectorTerm &term) {
        return fleet::matches(term, labels);
    });
}

std::string Selector::toString() const
{
    std::vector<std::string> parts;
    parts.reserve(m_terms.size());
    for (const auto &term : m_terms) {
        parts.push_back(printTerm(term));
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

} // namespace cyclamenlatch::fleet
