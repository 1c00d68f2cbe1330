#include "core/rcu_cell.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>
#include <vector>

using peridot::rcu_cell;

TEST_GROUP(rcu_cell){};

// Guards against invalidating a loaded value when a writer replaces it.
TEST(rcu_cell, loaded_value_outlives_replacement) {
    rcu_cell<int> cell(std::make_shared<int const>(1));
    auto const loaded = cell.load();
    cell.replace(std::make_shared<int const>(2));
    CHECK_EQUAL(1, *loaded);
    CHECK_EQUAL(2, *cell.load());
}

// Guards against torn, freed or stale values while readers and a writer run concurrently.
TEST(rcu_cell, concurrent_readers_never_see_an_older_value) {
    constexpr int replacements = 2000;
    rcu_cell<int> cell(std::make_shared<int const>(0));
    std::atomic<bool> is_finished{false};
    std::atomic<int> regressions{0};
    std::vector<std::thread> readers;
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            int last = 0;
            while (!is_finished.load()) {
                int const seen = *cell.load();
                if (seen < last) {
                    ++regressions;
                }
                last = seen;
            }
        });
    }
    for (int next = 1; next <= replacements; ++next) {
        cell.replace(std::make_shared<int const>(next));
    }
    is_finished = true;
    for (auto& reader : readers) {
        reader.join();
    }
    CHECK_EQUAL(0, regressions.load());
    CHECK_EQUAL(replacements, *cell.load());
}
