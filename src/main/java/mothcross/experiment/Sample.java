package mothcross.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;
import org.apache.commons.statistics.descriptive.StandardDeviation;

/**
 * What some seeds say of a figure: the mean, a bootstrap interval around it, and for two ways over the same seeds the
 * difference
 * seed by seed. Owns the statistics; must never call a difference one where its interval holds nothing.
 */
public record Sample(double mean, double low, double high, int count) {
    private static final int RESAMPLES = 2000;
    /** Under so many seeds an interval says little. */
    public static final int MIN_SEEDS = 8;

    /** 95 % by the percentiles of resampled means; the same numbers give the same interval. */
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

    /** How many standard deviations of the differences their mean is from nothing (Cohen's d for pairs). */
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
