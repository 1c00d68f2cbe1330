#include "../lib-2/fleet.hpp"

// An endpoint leaves while the platform's store is out, the process beside it is killed and starts
// again, and a heartbeat from before the leaving arrives once that process has read its record.
using namespace world;

int main(int argc, char** argv) {
    record log(argc > 2 ? argv[2] : "record.txt");
    bool const trouble = is_trouble();
    log.line(trouble ? "with the disruption" : "without the disruption");
    fleet mesh(log);
    if (argc < 2 || !mesh.start(argv[1])) {
        log.line("the fleet does not start");
        return 2;
    }
    std::mutex mutex;
    std::vector<std::tuple<double, std::string>> runs_of_leaver;
    std::set<std::string> finished;
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<beats>> beating;
    for (std::size_t at = 0; at < 4; ++at) {
        auto made =
            std::make_unique<endpoint>(log, *mesh.machines[at], "i-" + std::to_string(at + 1));
        made->on_run = [&, at](std::string const& attempt, std::string const& id) {
            std::lock_guard const lock(mutex);
            log.line("endpoint " + id + " runs " + attempt);
            if (at == 0) {
                runs_of_leaver.emplace_back(now_s(), attempt);
            }
        };
        made->on_end = [&](std::string const& attempt, std::string const&) {
            std::lock_guard const lock(mutex);
            finished.insert(attempt);
        };
        made->start(unix_ms());
        endpoints.push_back(std::move(made));
        beating.push_back(std::make_unique<beats>(*endpoints.back()));
    }
    auto const finish = [&](int result) {
        mesh.stop();
        beating.clear();
        for (auto& left : endpoints) {
            if (left->is_up) {
                left->end("ends with the script");
            }
        }
        return result;
    };
    if (!mesh.await_ready(now_s() + 20)) {
        log.line("the nodes do not become ready");
        return finish(2);
    }
    sleep_s(3);
    mesh.start_clients(4, 0.25);
    sleep_s(4);
    auto& leaver = *endpoints[0];
    machine& home = *mesh.machines[0];

    if (trouble) {
        log.line("the platform's store resets all connections");
        mesh.platform.set_mode(store::mode::resetting);
    }
    double const outage = now_s();
    sleep_s(0.5);
    // The endpoint leaves: it deregisters without a word before, and serves on for many seconds.
    beating[0]->stop();
    auto const late_sequence = leaver.sequence + 1; // sent now, on its way for seconds
    leaver.sequence = late_sequence;
    double const sent = now_s();
    if (!leaver.deregister()) {
        log.line("the leaving is not acknowledged");
        return finish(2);
    }
    double const acknowledged = now_s();
    log.line("endpoint i-1 has said that it leaves; node-1 has acknowledged it");
    sleep_s(0.3);
    if (trouble) {
        log.line("the process of node-1 is killed");
        home.end(SIGKILL, 2);
        sleep_s(0.5);
        home.start(mesh.program);
        log.line("node-1 starts again");
    }
    sleep_until(sent + 4);
    bool const late_acknowledged = leaver.beat("ready", late_sequence);
    log.line("the heartbeat of i-1 from before its leaving arrives, " +
             std::to_string(now_s() - sent) + " s late; " +
             (late_acknowledged ? "acknowledged" : "not acknowledged"));
    sleep_until(outage + 6);
    if (trouble) {
        mesh.platform.set_mode(store::mode::serving);
        log.line("the platform's store is back");
    }
    double const calm = trouble ? now_s() + stable_window_s : 0;
    sleep_until(acknowledged + 15);
    leaver.end("ends, as it has said");
    double const ended = now_s();
    sleep_s(3);

    int late = 0;
    int late_in_touch = 0;
    double first = 0;
    int lost = 0;
    {
        std::scoped_lock const lock(mutex, mesh.mutex);
        for (auto const& [at, attempt] : runs_of_leaver) {
            if (at <= acknowledged + drain_s) {
                continue;
            }
            ++late;
            first = first == 0 ? at : first;
            late_in_touch += at > calm ? 1 : 0;
            auto const found = mesh.outcomes.find(attempt);
            bool const is_answered = found != mesh.outcomes.end() && found->second.status == 200;
            if (!finished.contains(attempt) && !is_answered) {
                ++lost;
                log.line("refund " + attempt + " was begun by i-1 and lost with its end; answer " +
                         std::to_string(found == mesh.outcomes.end() ? 0 : found->second.status));
            }
        }
    }
    log.line("i-1 ended " + std::to_string(ended - acknowledged) + " s after the acknowledgement");
    log.line("refunds that reached i-1 later than DrainS after the acknowledgement: " +
             std::to_string(late) +
             ", with all machines in touch: " + std::to_string(late_in_touch) + ", first after " +
             std::to_string(first == 0 ? 0 : first - acknowledged) +
             " s, lost: " + std::to_string(lost));
    log.line(late_in_touch > 0 ? "DRAIN broken" : "DRAIN held");
    return finish(late_in_touch > 0 ? 1 : 0);
}
