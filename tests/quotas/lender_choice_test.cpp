#include "quotas/lender_choice.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const start{std::chrono::hours(1)};

boot_time after(int time) {
    return start + milliseconds(time);
}

} // namespace

TEST_GROUP(lender_choice) {
    lender_choice choice;
    lender_choice::suspicions suspected_until;

    void setup() override {
        choice.set_order({{"first", "127.0.0.1", 0.5}, {"second", "127.0.0.2", 0.5}});
    }

    std::string lender(boot_time now) const {
        auto const* found = this->choice.lender(this->suspected_until, now);
        return found == nullptr ? std::string() : found->instance;
    }

    bool may_delegate(std::string const& instance, boot_time now) const {
        return this->choice.may_delegate(instance, this->suspected_until, now);
    }
};

// Guards against a share that two pools count at the same time.
TEST(lender_choice, share_moves_only_after_its_delegation) {
    choice.delegate("first", start);
    suspected_until["first"] = after(2000);
    STRCMP_EQUAL("second", lender(after(100)).c_str());
    CHECK_FALSE(may_delegate("second", after(100)));
    CHECK_FALSE(may_delegate("second", after(749)));
    CHECK(may_delegate("second", after(750)));
}

// Guards against a second without tokens whenever a node that was taken for silent is asked again:
// its pool holds no share until the delegations to its successor have ended.
TEST(lender_choice, holder_of_the_share_is_asked_until_its_delegation_ends) {
    suspected_until["first"] = after(2000);
    choice.delegate("second", after(1900));
    STRCMP_EQUAL("second", lender(after(2000)).c_str());
    CHECK_FALSE(may_delegate("second", after(2000)));
    STRCMP_EQUAL("second", lender(after(2649)).c_str());
    STRCMP_EQUAL("first", lender(after(2650)).c_str());
    CHECK(may_delegate("first", after(2650)));
}

// Guards against a holder that is asked although it is silent or has left.
TEST(lender_choice, silent_or_unknown_holder_is_not_asked) {
    choice.delegate("second", start);
    suspected_until["second"] = after(2000);
    STRCMP_EQUAL("first", lender(after(100)).c_str());
    choice.delegate("gone", after(3000));
    STRCMP_EQUAL("first", lender(after(3100)).c_str());
}

// Guards against a restarted node that delegates the share that its earlier process has delegated.
TEST(lender_choice, share_of_an_earlier_process_is_not_delegated_again) {
    choice.assume_delegated(start);
    CHECK_FALSE(may_delegate("first", after(749)));
    CHECK(may_delegate("first", after(750)));
}
