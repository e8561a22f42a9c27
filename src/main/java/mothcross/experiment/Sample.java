package mothcross.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;
import org.apache.commons.statistics.descriptive.StandardDeviation;

/**
 * The mean of a metric over some seeds with a bootstrap interval, and the effect size of paired differences. An
 * interval that contains 0 does not establish a difference.
 */
public record Sample(double mean, double low, double high, int count) {
    private static final int RESAMPLES = 2000;
    /** With fewer seeds an interval says little. */
    public static final int MIN_SEEDS = 8;

    /** A 95 % interval by the percentiles of resampled means; the same values give the same interval. */
    public static Sample of(double[] values) {
        if (values.length == 0) return new Sample(Double.NaN, Double.NaN, Double.NaN, 0);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(Arrays.hashCode(values));
        double[] means = new double[RESAMPLES];
        double[] resample = new double[values.length];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int k = 0; k < resample.length; k++) resample[k] = values[random.nextInt(values.length)];
            means[i] = Mean.of(resample).getAsDouble();
        }
        double[] bounds = Quantile.withDefaults().evaluate(means, 0.025, 0.975);
        return new Sample(Mean.of(values).getAsDouble(), bounds[0], bounds[1], values.length);
    }

    /** The mean of the differences in standard deviations (Cohen's d for pairs). */
    public static double effectSize(double[] differences) {
        double deviation = StandardDeviation.of(differences).getAsDouble();
        double mean = Mean.of(differences).getAsDouble();
        return deviation > 0 ? mean / deviation : mean == 0 ? 0 : Math.copySign(Double.POSITIVE_INFINITY, mean);
    }

    public double halfWidth() {
        return (high - low) / 2;
    }

    public boolean isTooSmall() {
        return count < MIN_SEEDS;
    }
}
