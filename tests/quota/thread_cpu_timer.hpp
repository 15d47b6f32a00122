#pragma once
// The processor's time that a part of a test takes.
#include <ctime>

namespace duneturn {

/// Adds the time of this thread in a scope to a sum, in microseconds; nothing without a sum.
class ProcessorTime {
  public:
    explicit ProcessorTime(double* sum) : sum_(sum), begin_(sum ? threadTime() : 0) {}
    ~ProcessorTime() {
        if (sum_) *sum_ += threadTime() - begin_;
    }
    ProcessorTime(const ProcessorTime&) = delete;
    auto operator=(const ProcessorTime&) -> ProcessorTime& = delete;

  private:
    static auto threadTime() -> double {
        auto time = timespec();
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return double(time.tv_sec) * 1e6 + double(time.tv_nsec) / 1e3;
    }
    double* sum_;
    double begin_;
};

}  // namespace duneturn
