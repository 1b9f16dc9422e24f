// Splits a long property into several test cases, so that each ends within its time limit under a
// sanitizer too. All parts together check as many cases as the property would alone.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace cyclamenlatch {

inline constexpr int propertyParts = 5;

// A fixture with one test case for each part; instantiate it with
// ::testing::Range(0, propertyParts).
class PropertyPart : public ::testing::TestWithParam<int>
{
protected:
    // RC_PARAMS holds as for every property; each part adds its number to the seed.
    template<typename Testable>
    void check(Testable &&testable)
    {
        auto params = rc::detail::configuration().testParams;
        params.seed += static_cast<std::uint64_t>(GetParam());
        params.maxSuccess = (params.maxSuccess + propertyParts - 1) / propertyParts;
        const auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
        const rc::detail::TestMetadata metadata{info->name(), info->name()};
        const auto result =
                rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
        std::ostringstream explanation;
        rc::detail::printResultMessage(result, explanation);
        EXPECT_TRUE(result.template is<rc::detail::SuccessResult>())
                << "seed " << params.seed << ": " << explanation.str();
    }
};

} // namespace cyclamenlatch
