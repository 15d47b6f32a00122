#pragma once
// Measures the CPU time that parts of a test take.
#include <ctime>

namespace duneturn {

/// Adds the CPU time of the calling thread between construction and destruction to a sum, in microseconds.
class ThreadCpuTimer {
  public:
    /// `sum` must outlive the timer. Null: nothing is measured.
    explicit ThreadCpuTimer(double* sum) : sum_(sum), begin_(sum ? threadTime() : 0) {}
    ~ThreadCpuTimer() {
        if (sum_) *sum_ += threadTime() - begin_;
    }
    ThreadCpuTimer(const ThreadCpuTimer&) = delete;
    auto operator=(const ThreadCpuTimer&) -> ThreadCpuTimer& = delete;

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
