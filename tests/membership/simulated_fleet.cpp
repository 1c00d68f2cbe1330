#include "membership/simulated_fleet.h"

#include "membership/datagram_codec.h"

#include <ctime>

namespace peridot::simulation {

namespace {

nanoseconds processor_time() {
    timespec reading{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
    return seconds(reading.tv_sec) + nanoseconds(reading.tv_nsec);
}

} // namespace

member_record make_record(std::size_t number) {
    member_record record;
    record.instance = "instance-" + std::to_string(1000 + number);
    record.incarnation = 1'000'000 + number;
    record.ip = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
    record.peer_port = 7001;
    record.gossip_port = 7002;
    record.availability_zone = number % 2 == 0 ? "ariana" : "la-marsa";
    record.region = "tunis";
    record.service = "deposits";
    record.target_version = "v1";
    record.state = member_state::serving;
    record.slots = 12;
    return record;
}

std::vector<std::string> make_pages(std::size_t count) {
    std::vector<std::string> pages(1);
    for (std::size_t number = 0; number < count; ++number) {
        auto const part = encode_page_member({.record = make_record(number)});
        if (pages.back().size() + part.size() >= page_bytes_limit) {
            pages.emplace_back();
        }
        pages.back() += part;
    }
    return pages;
}

std::size_t simulated_fleet::add(member_record const& own) {
    std::size_t const number = this->nodes.size();
    node made;
    made.protocol = std::make_unique<swim_protocol>(own, this->settings,
                                                    random_source(this->random()), this->clock);
    made.next_tick = this->clock + milliseconds(this->random() % 100);
    this->nodes.push_back(std::move(made));
    this->by_address[{own.ip, own.gossip_port}] = number;
    this->by_name[own.instance] = number;
    return number;
}

void simulated_fleet::add_synchronized_members(std::size_t count) {
    auto const pages = make_pages(count);
    for (std::size_t number = 0; number < count; ++number) {
        std::size_t const added = this->add(make_record(number));
        for (auto const& page : pages) {
            this->at(added).merge_page(page, this->clock);
        }
        this->at(added).take_changes();
    }
}

void simulated_fleet::run(milliseconds time) {
    steady_time const end = this->clock + time;
    while (this->clock < end) {
        this->clock += milliseconds(1);
        this->deliver_due();
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            node& member = this->nodes[number];
            if (this->clock >= member.next_tick && !member.is_dead) {
                member.next_tick = this->clock + milliseconds(100);
                if (member.is_frozen) {
                    continue;
                }
                this->run_measured([&] { member.protocol->tick(this->clock); });
                this->flush(number);
            }
        }
    }
}

std::optional<milliseconds> simulated_fleet::run_until(std::function<bool()> const& condition,
                                                       milliseconds limit) {
    milliseconds taken{0};
    while (!condition()) {
        if (taken >= limit) {
            return std::nullopt;
        }
        this->run(milliseconds(100));
        taken += milliseconds(100);
    }
    return taken;
}

void simulated_fleet::thaw(std::size_t number) {
    node& member = this->nodes[number];
    member.is_frozen = false;
    member.protocol->tick(this->clock);
    for (auto const& [from, bytes] : std::exchange(member.unread, {})) {
        member.protocol->receive(from, bytes, this->clock);
    }
    this->flush(number);
}

void simulated_fleet::deliver_due() {
    while (!this->queue.empty() && this->queue.top().due <= this->clock) {
        delivery const arrived = this->queue.top();
        this->queue.pop();
        node& receiver = this->nodes[arrived.to];
        if (receiver.is_dead) {
            continue;
        }
        auto const& sender = this->nodes[arrived.from].protocol->own();
        gossip_address const from{sender.ip, sender.gossip_port};
        if (receiver.is_frozen) {
            receiver.unread.emplace_back(from, arrived.bytes);
            continue;
        }
        this->run_measured([&] { receiver.protocol->receive(from, arrived.bytes, this->clock); });
        this->flush(arrived.to);
    }
}

void simulated_fleet::run_measured(std::function<void()> const& input) {
    if (!this->is_measuring) {
        input();
        return;
    }
    auto const started = processor_time();
    input();
    this->processor_time_used += processor_time() - started;
}

void simulated_fleet::flush(std::size_t member) {
    for (auto& datagram : this->nodes[member].protocol->take_outgoing()) {
        this->send(member, datagram);
    }
    this->count_false_deaths(member);
}

void simulated_fleet::count_false_deaths(std::size_t member) {
    for (auto const& change : this->nodes[member].protocol->take_changes()) {
        if (change.state == liveness::dead) {
            auto const& named = this->nodes[this->by_name[change.record.instance]];
            this->false_death_count += !named.is_dead && !named.is_frozen ? 1 : 0;
        }
    }
}

void simulated_fleet::send(std::size_t from, outgoing_datagram& datagram) {
    this->largest_datagram_bytes = std::max(this->largest_datagram_bytes, datagram.bytes.size());
    auto const found = this->by_address.find(datagram.destination);
    bool const is_lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
    if (found == this->by_address.end() || is_lost) {
        return;
    }
    std::optional<milliseconds> delay(1 + static_cast<std::int64_t>(this->random() % 3));
    if (this->network) {
        delay = this->network(from, found->second);
    }
    if (delay) {
        this->queue.push(
            {this->clock + *delay, this->serial++, from, found->second, std::move(datagram.bytes)});
    }
}

bool simulated_fleet::all_observe(std::size_t member, liveness state) const {
    std::string const& name = this->nodes[member].protocol->own().instance;
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        node const& other = this->nodes[number];
        if (number != member && !other.is_dead && other.protocol->state_of(name) != state) {
            return false;
        }
    }
    return true;
}

bool simulated_fleet::is_converged() const {
    std::optional<std::uint64_t> digest;
    for (auto const& member : this->nodes) {
        if (member.is_dead || member.is_frozen) {
            continue;
        }
        if (digest && *digest != member.protocol->digest()) {
            return false;
        }
        digest = member.protocol->digest();
    }
    return true;
}

} // namespace peridot::simulation
