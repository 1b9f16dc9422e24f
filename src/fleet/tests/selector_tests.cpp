// Selectors parse, match and print; mistakes name their place.
#include "fleet/selector.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::fleet {
namespace {

bool selects(std::string_view text, const Labels &labels)
{
    const auto selector = Selector::parse(text);
    EXPECT_TRUE(selector.has_value()) << text;
    return selector.value().matches(labels);
}

TEST(Selector, matchesEveryKindOfTerm)
{
    const Labels labels{{"tier", "gold"}, {"size", "m"}};
    EXPECT_TRUE(selects("", labels));
    EXPECT_TRUE(selects("tier=gold, size in (s, m), tier, !retired", labels));
    EXPECT_TRUE(selects("size notin (xl), zone!=b", labels));
    EXPECT_FALSE(selects("tier=silver", labels));
    EXPECT_FALSE(selects("size in (s)", labels));
    EXPECT_FALSE(selects("retired", labels));
    EXPECT_FALSE(selects("!tier", labels));
}

TEST(Selector, printsWhatItParses)
{
    const auto selector = Selector::parse("a=b,c in (d,e),!f").value();
    EXPECT_EQ(selector.toString(), "a=b, c in (d, e), !f");
    EXPECT_EQ(Selector::parse(selector.toString()).value(), selector);
}

TEST(Selector, refusesMalformedTextWithPlaceAndRemedy)
{
    for (const char *text : {"a=", "a in b", "a in (b", ",a", "a=b c", "a,", "a=b,,c", "=x"}) {
        const auto selector = Selector::parse(text);
        ASSERT_FALSE(selector.has_value()) << text;
        EXPECT_NE(selector.error().message.find("character"), std::string::npos);
        EXPECT_FALSE(selector.error().remedy.empty());
    }
}

} // namespace
} // namespace cyclamenlatch::fleet
