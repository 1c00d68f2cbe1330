#include "membership/membership_agent.h"
#include "membership/simulated_fleet.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>

#include <chrono>

using namespace std::chrono_literals;
using namespace peridot;

namespace {

member_record local_record(int number) {
    member_record record = simulation::make_record(static_cast<std::size_t>(number));
    record.ip = "127.0.0.1";
    record.gossip_port = 0;
    return record;
}

swim_settings quick_settings() {
    swim_settings settings;
    settings.probe_period = 300ms;
    settings.direct_timeout = 100ms;
    settings.suspicion_base = 600ms;
    settings.dead_probe_period = 500ms;
    settings.digest_period = 500ms;
    return settings;
}

struct agent_group {
    explicit agent_group(int count) {
        for (int number = 0; number < count; ++number) {
            auto made =
                membership_agent::create(this->context, local_record(number), quick_settings());
            CHECK(is_ok(made));
            this->agents.push_back(value(std::move(made)));
            this->agents.back()->add_seed("127.0.0.1", this->agents.front()->port());
            this->agents.back()->start();
        }
    }

    // Runs until the condition holds; the limit is generous because test machines may be slow.
    template<typename Condition>
    bool run_until(Condition const& condition) {
        auto const limit = std::chrono::steady_clock::now() + 60s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->context.run_one_for(50ms);
        }
        return condition();
    }

    bool all_list(std::size_t members) const {
        for (auto const& agent : this->agents) {
            if (agent->directory().load()->members().size() != members) {
                return false;
            }
        }
        return true;
    }

    boost::asio::io_context context;
    std::vector<std::unique_ptr<membership_agent>> agents;
};

} // namespace

TEST_GROUP(membership_agent){};

// Guards against a transport that loses members, states or attachments between real sockets, and
// against a directory that is not updated.
TEST(membership_agent, members_join_announce_and_fail_over_real_sockets) {
    agent_group group(4);
    std::size_t changes = 0;
    group.agents[0]->set_change_handler(
        [&](auto const& changed_members) { changes += changed_members.size(); });
    CHECK(group.run_until([&] { return group.all_list(4); }));
    CHECK(changes >= 3);
    std::string received;
    group.agents[1]->set_attachment_provider(
        2, {nullptr, [&](auto bytes, auto sender) { received = std::string(sender) += bytes; }});
    CHECK(is_ok(group.agents[2]->send_attachment("instance-1001", {2, "!"})));
    CHECK(group.run_until([&] { return received == "instance-1002!"; }));
    group.agents[3]->set_state(member_state::draining);
    CHECK(group.run_until([&] {
        return group.agents[0]->directory().load()->endpoints("deposits", "v1").size() == 3;
    }));
    group.agents.back()->stop();
    group.agents.pop_back();
    CHECK(group.run_until([&] { return group.all_list(3); }));
}

// Guards against agents that do not rejoin after a network partition.
TEST(membership_agent, a_partition_heals) {
    agent_group group(4);
    CHECK(group.run_until([&] { return group.all_list(4); }));
    auto const address = [&](std::size_t number) {
        return gossip_address{"127.0.0.1", group.agents[number]->port()};
    };
    for (std::size_t number = 0; number < 4; ++number) {
        std::size_t const other = number < 2 ? 2 : 0;
        group.agents[number]->set_unreachable({address(other), address(other + 1)});
    }
    CHECK(group.run_until([&] { return group.all_list(2); }));
    for (auto const& agent : group.agents) {
        agent->set_unreachable({});
    }
    CHECK(group.run_until([&] { return group.all_list(4); }));
}

// Guards against bind errors that are thrown as exceptions or lack their result code.
TEST(membership_agent, an_address_in_use_is_reported) {
    agent_group group(1);
    member_record taken = local_record(1);
    taken.gossip_port = group.agents[0]->port();
    auto const made = membership_agent::create(group.context, taken);
    CHECK_FALSE(is_ok(made));
    CHECK(failure(made).code == result_code::address_unavailable);
    taken.ip = "no address";
    CHECK_FALSE(is_ok(membership_agent::create(group.context, taken)));
}

// Guards against a former incarnation that continues to run after it was superseded.
TEST(membership_agent, a_superseded_agent_is_notified) {
    agent_group group(3);
    CHECK(group.run_until([&] { return group.all_list(3); }));
    bool is_notified = false;
    group.agents[1]->set_superseded_handler([&] { is_notified = true; });
    member_record next = local_record(1);
    next.incarnation += 5;
    auto made = membership_agent::create(group.context, next, quick_settings());
    CHECK(is_ok(made));
    auto const& replacement = value(made);
    replacement->add_seed("127.0.0.1", group.agents[0]->port());
    replacement->start();
    CHECK(group.run_until([&] { return is_notified; }));
    CHECK(group.run_until([&] {
        auto const held = group.agents[0]->protocol().record_of(next.instance);
        return held && held->incarnation == next.incarnation;
    }));
}
