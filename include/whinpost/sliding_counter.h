// A sum over the most recent time buckets.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

namespace whinpost {

// Time is divided into buckets of equal width. Only amounts in the latest `Buckets` of them count. `now` must
// not be negative.
template <int Buckets>
class SlidingCounter {
public:
    explicit SlidingCounter(std::int64_t bucket_width) : width_(bucket_width) {}

    void add(std::int64_t now, double amount) {
        advance(now);
        not_empty_ = true;
        buckets_[slot(epoch_)] += amount;
    }

    // The sum of the latest `buckets` buckets at `now`, by default of all.
    double sum(std::int64_t now, int buckets = Buckets) {
        if (!not_empty_) return 0;
        advance(now);
        double total = 0;
        for (int back = 0; back < buckets && back < Buckets; ++back) total += buckets_[slot(epoch_ - back)];
        return total;
    }

    void clear() {
        buckets_.fill(0);
        not_empty_ = false;
    }

private:
    static std::size_t slot(std::int64_t epoch) {
        return static_cast<std::size_t>(((epoch % Buckets) + Buckets) % Buckets);
    }
    void advance(std::int64_t now) {
        const std::int64_t epoch = now / width_;
        if (epoch - epoch_ >= Buckets) {
            clear();
        } else {
            while (epoch_ < epoch) buckets_[slot(++epoch_)] = 0;
        }
        if (epoch > epoch_) epoch_ = epoch;
    }

    std::int64_t width_;
    std::int64_t epoch_ = 0;
    bool not_empty_ = false;  // add() was called since all buckets were empty
    std::array<double, Buckets> buckets_{};
};

}  // namespace whinpost
